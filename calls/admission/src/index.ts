export * from './admission_controller.js';
export * from './admission_ticket.js';
export * from './slot_limit.js';
