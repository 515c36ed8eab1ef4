export * from './Intake.js';
