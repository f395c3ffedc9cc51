/** Checks that count at both ends. */
export * from './billing.js'
export * from './evidence.js'
export * from './outcomes.js'
