export * from './FleetMessage.js';
export * from './FleetView.js';
export * from './FleetTask.js';
