/** What one admitted request is made of: what its caller sent, and what it matched. */
import type { GatewayNode } from '../gatewayNode.js'
import type { GatewayConfig, Route, Service, Workspace } from '../model/config.js'
import type { MemoryHold, MemoryHolder } from '../memory/memoryShare.js'
import type { Caller } from './caller.js'

export interface RequestContextOptions {
  readonly node: GatewayNode
  readonly caller: Caller
  readonly cfg: GatewayConfig
  readonly route: Route
  readonly service: Service
  readonly workspace: Workspace | undefined
  /** The body, in order. */
  readonly body: readonly Buffer[]
  /** Memory that the body takes. */
  readonly bodyHold: MemoryHold
}

/** For whom the memory of a request is held. */
export function memoryHolderOf(
  workspace: Workspace | undefined,
  route: Route,
): MemoryHolder {
  return {
    workspace: workspace?.name ?? '',
    priority: workspace?.priority ?? route.priority,
  }
}
