/** Load tool, scenario runner and checks. */
export * from './check/index.js'
export * from './experiment/index.js'
export * from './harness/testProcess.js'
export * from './harness/deployment.js'
export * from './load/chatCaller.js'
export * from './load/openLoop.js'
export * from './relay/index.js'
