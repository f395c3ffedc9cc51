/** The operators' command line as a library. */
export { run } from './cli.js'
export * from './commands/apply.js'
export * from './commands/check.js'
