/**
 * The coordination parts of bramleyrun as a library: pure decisions, the read-only model they
 * work on, the micro-kernel and the tasks. Each part works with no daemon around it.
 */
export * as codecs from './codecs/index.js';
export * as decisions from './decisions/index.js';
export * as kernel from './kernel/index.js';
export * as model from './model/index.js';
export * as services from './services/index.js';
