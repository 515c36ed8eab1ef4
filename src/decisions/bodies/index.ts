export * from './isFragmented.js';
