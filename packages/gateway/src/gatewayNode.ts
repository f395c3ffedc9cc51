/** What the requests of one process share. */
import type { Clock, Random } from '@wagtailway/core'
import type { CascadeOptions } from './cascade/cascade.js'
import type { ServerConnections } from './forward/serverConnections.js'
import type { GatewayConfig } from './model/config.js'
import type { HeaderDialect } from './model/requestMetadata.js'
import { RouteTable } from './model/routeTable.js'
import type { Log } from './observe/log.js'
import type { GatewayMetrics } from './observe/metrics.js'
import type { PrefillSpeeds } from './placement/prefillSpeeds.js'
import type { CachedPrefixes } from './placement/cachedPrefixes.js'
import type { ServerHealth } from './placement/serverHealth.js'
import type { LoadTable } from './placement/serverLoad.js'
import { RetryBudget } from './retry/retryBudget.js'
import type { PeerTable } from './peers/peerTable.js'
import type { RolloutTable } from './rollout/rolloutTable.js'
import type { ServerEvidence } from './rollout/serverEvidence.js'
import type { ServerTable } from './servers/serverTable.js'

/** Bounds that the deployment gives. */
export interface GatewayBounds {
  /** Repeats allowed for each request of a service. */
  readonly retryRatio: number
  readonly retryWindowMs: number
  /** Repeats allowed in a window beside those, by all entry instances together. */
  readonly retrySlack: number
  /** Share of a service's requests that a bad version may get in all. */
  readonly exposureShare: number
  /** Requests of a session that follow each other within this time belong together. */
  readonly sessionGapMs: number
}

/** Part of the deployment's bound on repeats that is used; the rest covers windows that shift. */
const REPEAT_BOUND_PART = 0.85

/** Part of the slack that all instances together use. */
const REPEAT_SLACK_PART = 0.5

export interface GatewayNodeOptions {
  readonly name: string
  readonly zone: string
  readonly clock: Clock
  readonly random: Random
  readonly log: Log
  readonly metrics: GatewayMetrics
  readonly dialect: HeaderDialect
  readonly bounds: GatewayBounds
  readonly cascade: CascadeOptions
  readonly servers: ServerTable
  readonly load: LoadTable
  readonly health: ServerHealth
  readonly prefillSpeeds: PrefillSpeeds
  readonly cachedPrefixes: CachedPrefixes
  readonly connections: ServerConnections
  readonly rollouts: RolloutTable
  readonly evidence: ServerEvidence
  readonly peers: PeerTable
}

/** Configuration in force, with its index. */
export interface ConfigInForce {
  readonly cfg: GatewayConfig
  readonly routes: RouteTable
  /** When it was taken in, on the monotonic clock. */
  readonly sinceMs: number
}

/**
 * Shared state of one process.
 *
 * @example
 * const node = GatewayNode.create(options)
 * node.putInForce(cfg)
 */
export class GatewayNode {
  inProgress = 0
  /** Whether the lists of backend servers and roll-outs have been read. */
  hasInitialLists = false
  /** Set once the process has been asked to end. */
  isDraining = false
  /** Set once no stream that begins now could end before the process does. */
  rejectsNewStreams = false
  #inForce: ConfigInForce | undefined
  readonly #budgets = new Map<string, RetryBudget>()

  private constructor(readonly opts: GatewayNodeOptions) {}

  static create(opts: GatewayNodeOptions): GatewayNode {
    return new GatewayNode(opts)
  }

  /** Undefined until everything is known that decides on requests. */
  get inForce(): ConfigInForce | undefined {
    return this.hasInitialLists ? this.#inForce : undefined
  }

  /** Puts a configuration in force unless a newer one already is. */
  putInForce(cfg: GatewayConfig): boolean {
    const { clock, log, metrics } = this.opts
    const old = this.#inForce?.cfg.version
    if (old !== undefined && cfg.version <= old) return false
    this.#inForce = { cfg, routes: RouteTable.create(cfg.routes), sinceMs: clock() }
    metrics.configVersion.set(cfg.version)
    log('config_in_force', {
      version: cfg.version,
      before: old,
      routes: cfg.routes.length,
    })
    return true
  }

  /** Budget of repeats of a service. */
  budget(service: string): RetryBudget {
    const { clock, bounds, peers } = this.opts
    let budget = this.#budgets.get(service)
    if (!budget) {
      budget = RetryBudget.create({
        clock,
        ratio: bounds.retryRatio * REPEAT_BOUND_PART,
        slack: () => (bounds.retrySlack * REPEAT_SLACK_PART) / peers.peakAliveCount,
        windowMs: bounds.retryWindowMs,
      })
      this.#budgets.set(service, budget)
    }
    return budget
  }
}
