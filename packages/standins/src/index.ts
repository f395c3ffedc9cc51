/** Stand-ins for the systems that wagtailway meets. */
export * from './engine/answerText.js'
export * from './engine/engineStandin.js'
export * from './http/jsonServer.js'
export * from './platform/platformStandin.js'
export * from './ratings/ratingsStandin.js'
export * from './service/serviceStandin.js'
export * from './fleet/replicaStandin.js'
export * from './fleet/storeStandin.js'
