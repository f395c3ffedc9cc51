/** Settings of one entry instance, wherever they are read from. */
import type { GatewayBounds } from '../gatewayNode.js'
import type { ListenAddress } from '../http/callerServer.js'

export interface GatewaySettings {
  /** Unique among the entry instances. */
  readonly name: string
  readonly zone: string
  /** Address on which other entry instances reach this one. */
  readonly host: string
  /** Port for reports (UDP) of other entry instances; the same at all of them. */
  readonly peerPort: number
  /** Where other entry instances pull feeds (TCP); the same port at all of them. */
  readonly feeds: ListenAddress
  /** Hosts of some entry instances, which may be down. */
  readonly seedHosts: readonly string[]
  readonly callers: ListenAddress
  /** Where the balancer asks whether this instance wants new connections. */
  readonly readiness: ListenAddress
  readonly metrics: ListenAddress
  /** Time between the order to end and the end by force, in milliseconds. */
  readonly graceMs: number
  /** Time within which a change in the store must be followed, in milliseconds. */
  readonly maxPropagationMs: number
  readonly bounds: GatewayBounds
}
