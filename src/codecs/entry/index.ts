export * from './WireCodec.js';
