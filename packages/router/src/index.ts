/** The entry daemon as a library. */
export * from './constants.js'
export * from './options.js'
export * from './router.js'
export { run } from './cli.js'
