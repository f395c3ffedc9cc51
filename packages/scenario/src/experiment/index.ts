/** The experiment tool. */
export * from './experiment.js'
export * from './formatResult.js'
export * from './plotResult.js'
export * from './runExperiment.js'
export * from './statistics.js'
