/** Recorded traffic. */
export * from './schema.js'
