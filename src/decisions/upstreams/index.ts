export * from './Avoidance.js';
export * from './chooseUpstream.js';
export * from './getLoad.js';
export * from './UpstreamView.js';
