/** Traces of recorded traffic. */
export * from './schema.js'
