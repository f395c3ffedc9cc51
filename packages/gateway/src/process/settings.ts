/** Settings of one entry instance, wherever they are read from. */
import type { GatewayBounds } from '../gatewayNode.js'
import type { ListenAddress } from '../http/callerServer.js'

export interface GatewaySettings {
  /** Unique among the entry instances. */
  readonly name: string
  readonly zone: string
  /** Address on which other entry instances reach this one. */
  readonly host: string
  /** Port for reports (UDP) and feeds (TCP) of other entry instances. */
  readonly peerPort: number
  readonly callers: ListenAddress
  /** Where the balancer asks whether this instance wants new connections. */
  readonly readiness: ListenAddress
  readonly metrics: ListenAddress
  /** Time between the order to end and the end by force, in milliseconds. */
  readonly graceMs: number
  /** Time within which a change in the store must be followed, in milliseconds. */
  readonly followMs: number
  readonly bounds: GatewayBounds
}
