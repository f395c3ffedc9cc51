/** State shared by all requests of one process. */
import type { Clock, Random } from '@wagtailway/core'
import { ServiceAdmission } from './admission/serviceAdmission.js'
import type { CascadeOptions } from './cascade/cascade.js'
import type { EvacuationTable } from './evacuation/evacuationTable.js'
import type { ServerConnections } from './forward/serverConnections.js'
import type { ServerLimiter } from './limits/serverLimiter.js'
import type { MemoryBudget } from './memory/memoryBudget.js'
import type { GatewayConfig } from './model/config.js'
import type { HeaderDialect } from './model/requestMetadata.js'
import { RouteTable } from './model/routeTable.js'
import type { Log } from './observe/log.js'
import type { GatewayMetrics } from './observe/metrics.js'
import type { PathTable } from './paths/pathTable.js'
import type { ServerDialer } from './paths/serverDialer.js'
import type { PrefillSpeeds } from './placement/prefillSpeeds.js'
import type { CachedPrefixes } from './placement/cachedPrefixes.js'
import type { ServerHealth } from './placement/serverHealth.js'
import type { LoadTable } from './placement/serverLoad.js'
import { RetryBudget } from './retry/retryBudget.js'
import type { CrashQuarantine } from './quarantine/crashQuarantine.js'
import type { PeerTable } from './peers/peerTable.js'
import type { PlaceLimiter } from './statements/placeLimiter.js'
import type { StatementTable } from './statements/statementTable.js'
import type { RolloutTable } from './rollout/rolloutTable.js'
import type { ExposureLimit } from './rollout/planRollout.js'
import type { VersionEvidence } from './rollout/versionEvidence.js'
import type { ServerTable } from './servers/serverTable.js'
import type { ColdServers } from './warmup/coldServers.js'
import type { ColdBound } from './warmup/warmupBound.js'
import type { WarmupLimiter } from './warmup/warmupLimiter.js'

/** Limits set by the deployment. */
export interface GatewayBounds {
  /** Retries allowed per request of a service. */
  readonly retryRatio: number
  readonly retryWindowMs: number
  /** Additional retries allowed per window, for all entry instances together. */
  readonly retrySlack: number
  /** Requests that a bad version may receive until the deadline of its rollout. */
  readonly exposure: ExposureLimit
  /**
   * Maximum gap between two requests that belong to the same session, in milliseconds.
   */
  readonly sessionGapMs: number
  /**
   * Time within which an evacuation of a zone must be applied, in milliseconds; evacuations
   * are followed only if it is set.
   */
  readonly evacuationMs?: number | undefined
  /** Requests in any second to a cold server; absent if no server counts as cold. */
  readonly cold?: ColdBound
}

/**
 * Share of the deployment's retry ratio that a budget allows. The rest is a margin: the
 * ratio must hold in windows with any start, while a budget's window starts at a step
 * boundary and may be up to one step shorter than `retryWindowMs`.
 */
const RETRY_BOUND_SHARE = 0.85

/** Share of the deployment's retry slack that all instances together use. */
const RETRY_SLACK_SHARE = 0.5

export interface GatewayNodeOptions {
  readonly name: string
  readonly zone: string
  readonly clock: Clock
  readonly random: Random
  readonly log: Log
  readonly metrics: GatewayMetrics
  readonly dialect: HeaderDialect
  readonly bounds: GatewayBounds
  readonly memory: MemoryBudget
  readonly cascade: CascadeOptions
  readonly servers: ServerTable
  readonly evacuations: EvacuationTable
  readonly load: LoadTable
  readonly health: ServerHealth
  readonly prefillSpeeds: PrefillSpeeds
  readonly cachedPrefixes: CachedPrefixes
  readonly connections: ServerConnections
  readonly paths: PathTable
  readonly dialer: ServerDialer
  readonly rollouts: RolloutTable
  readonly evidence: VersionEvidence
  readonly peers: PeerTable
  readonly quarantine: CrashQuarantine
  readonly limiter: ServerLimiter
  readonly statements: StatementTable
  readonly places: PlaceLimiter
  readonly cold: ColdServers
  readonly warmup: WarmupLimiter
}

/** The current configuration, with its route table. */
export interface ActiveConfig {
  readonly cfg: GatewayConfig
  readonly routes: RouteTable
  /** When this process activated the configuration, on the monotonic clock. */
  readonly activeSinceMs: number
}

/**
 * Shared state of one process.
 *
 * @example
 * const node = GatewayNode.create(options)
 * node.activateConfig(cfg)
 */
export class GatewayNode {
  requestsInProgress = 0
  /** How late the event loop last ran a timer, in milliseconds. */
  loopDelayMs = 0
  /** Whether the initial lists of backend servers and rollouts have been read. */
  hasInitialLists = false
  /** Set once the process has been asked to shut down. */
  isDraining = false
  /**
   * When the last connections are closed, on the monotonic clock; set once requests that may
   * last longer are refused.
   */
  stopsAtMs: number | undefined
  /** Latest deadline of a request so far, on the monotonic clock. */
  lastDeadlineMs = Number.NEGATIVE_INFINITY
  /** Called when the other instances should learn at once which services are cut off. */
  onPathNews: () => void = () => undefined
  #activeConfig: ActiveConfig | undefined
  readonly #retryBudgets = new Map<string, RetryBudget>()
  readonly #admissions = new Map<string, ServiceAdmission>()

  private constructor(readonly opts: GatewayNodeOptions) {}

  static create(opts: GatewayNodeOptions): GatewayNode {
    return new GatewayNode(opts)
  }

  get memory(): MemoryBudget {
    return this.opts.memory
  }

  /** Longest time that any request may take, in milliseconds. */
  get longestTimeoutMs(): number {
    const routes = this.#activeConfig?.cfg.routes ?? []
    return routes.reduce((longest, { timeoutMs }) => Math.max(longest, timeoutMs), 0)
  }

  /** `undefined` until the configuration and the initial lists have been read. */
  get activeConfig(): ActiveConfig | undefined {
    return this.hasInitialLists ? this.#activeConfig : undefined
  }

  /** Activates a configuration; returns false unless it is newer than the current one. */
  activateConfig(cfg: GatewayConfig): boolean {
    const { clock, log, metrics } = this.opts
    const previousVersion = this.#activeConfig?.cfg.version
    if (previousVersion !== undefined && cfg.version <= previousVersion) return false
    this.#activeConfig = {
      cfg,
      routes: RouteTable.create(cfg.routes),
      activeSinceMs: clock(),
    }
    metrics.configVersion.set(cfg.version)
    log('config_in_force', {
      version: cfg.version,
      before: previousVersion,
      routes: cfg.routes.length,
    })
    return true
  }

  /** Retry budget of a service. */
  retryBudget(service: string): RetryBudget {
    const { clock, bounds, peers } = this.opts
    let retryBudget = this.#retryBudgets.get(service)
    if (!retryBudget) {
      retryBudget = RetryBudget.create({
        clock,
        ratio: bounds.retryRatio * RETRY_BOUND_SHARE,
        slack: () => (bounds.retrySlack * RETRY_SLACK_SHARE) / peers.peakAliveCount,
        windowMs: bounds.retryWindowMs,
      })
      this.#retryBudgets.set(service, retryBudget)
    }
    return retryBudget
  }

  /** Admission of a service's requests. */
  admission(service: string): ServiceAdmission {
    const { clock, random, servers, load, peers } = this.opts
    let admission = this.#admissions.get(service)
    if (!admission) {
      admission = ServiceAdmission.create({
        clock,
        random,
        servers: () => servers.ready(service),
        loadOf: (id) => load.total(id),
        ownLoadOf: (id) => load.localLoads.get(id),
        instanceCount: () => peers.aliveCount,
        loadsAgeMs: () => load.reportedAgeMs,
      })
      this.#admissions.set(service, admission)
    }
    return admission
  }
}
