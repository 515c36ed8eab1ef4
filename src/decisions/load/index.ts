export * from './SendRate.js';
export * from './SpeedEstimate.js';
export * from './chooseShareWriter.js';
export * from './isUsableShares.js';
export * from './orderDesignated.js';
export * from './reportWeight.js';
