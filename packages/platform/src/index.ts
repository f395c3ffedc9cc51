/** Client of the versioned object API and of the instance list. */
export * from './messages.js'
export * from './platformClient.js'
export * from './requestJson.js'
