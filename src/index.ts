/**
 * The coordination modules of bramleyrun as a library: pure decision functions, the read-only data types
 * that they work on, the micro-kernel and the tasks. Each module can be used without running a daemon.
 */
export * as codecs from './codecs/index.js';
export * as decisions from './decisions/index.js';
export * as kernel from './kernel/index.js';
export * as model from './model/index.js';
export * as services from './services/index.js';
