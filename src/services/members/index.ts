export * from './MembersMessage.js';
export * from './MembersTask.js';
