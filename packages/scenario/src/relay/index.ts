/** TCP relay that injects faults between two parts. */
export * from './tcpRelay.js'
