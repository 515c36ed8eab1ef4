export * from './AdmissionState.js';
export * from './OverloadPolicy.js';
export * from './PriorityMix.js';
