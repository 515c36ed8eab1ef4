export * from './AdmissionState.js';
