export * from './Avoidance.js';
export * from './chooseUpstream.js';
export * from './getPossibleChoices.js';
export * from './getUtilisation.js';
export * from './UpstreamHold.js';
export * from './UpstreamView.js';
