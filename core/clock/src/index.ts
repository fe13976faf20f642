export * from './manual_clock.js';
export * from './pause_detector.js';
export * from './seeded_random.js';
export * from './system_clock.js';
export * from './system_random.js';
