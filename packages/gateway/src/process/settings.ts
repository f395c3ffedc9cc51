/** Settings of one entry instance, independent of their source. */
import type { GatewayBounds } from '../gatewayNode.js'
import type { ListenAddress, SocketName } from '../sockets/sockets.js'

export interface GatewaySettings {
  /** Unique among the entry instances. */
  readonly name: string
  readonly zone: string
  /** Address on which other entry instances reach this one. */
  readonly host: string
  /**
   * UDP port for reports, and TCP port for relayed connections; the same on all entry
   * instances.
   */
  readonly peerPort: number
  /**
   * TCP address from which other entry instances pull feeds; the port is the same on all
   * of them.
   */
  readonly feedAddress: ListenAddress
  /** Hosts of some entry instances, which may be down. */
  readonly seedHosts: readonly string[]
  readonly callerAddress: ListenAddress
  /**
   * Address at which the balancer checks whether this instance accepts new connections.
   */
  readonly readinessAddress: ListenAddress
  readonly metricsAddress: ListenAddress
  /** Name of the setting that has the address of each socket, for the operator. */
  readonly socketSettings: Readonly<Record<SocketName, string>>
  /** Bandwidth of this machine's link, in megabits per second. */
  readonly linkMbps: number
  /** Memory above which the process is killed, in bytes. */
  readonly memoryBytes: number
  /** Limit of the process's open descriptors; `undefined` if it isn't known. */
  readonly fileLimit?: number | undefined
  /** Time between the request to shut down and the forced stop, in milliseconds. */
  readonly graceMs: number
  /** Time within which a change in the store must be applied, in milliseconds. */
  readonly maxPropagationMs: number
  readonly bounds: GatewayBounds
}
