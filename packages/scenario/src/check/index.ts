/** Checks over evidence recorded at callers and at backend servers. */
export * from './billing.js'
export * from './evidence.js'
export * from './outcomes.js'
