/** Scenarios: file format, runner and verdicts. */
export * from './formatReport.js'
export * from './parseScenario.js'
export * from './runScenario.js'
export * from './schema.js'
