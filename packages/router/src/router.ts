/** One entry instance: puts the parts together and takes them apart again. */
import { setTimeout as delay } from 'node:timers/promises'
import {
  ClaimTable,
  ConfigHolder,
  Ledger,
  MemberTable,
  QualityEstimates,
  RetryBudget,
  cheapestMeetingTarget,
  concurrencyLimit,
  monotonicClock,
  seededRandom,
  twoRandomChoices,
  wallClock,
} from '@wagtailway/core'
import { PlatformClient } from '@wagtailway/platform'
import { BackendClient } from './backend/backendClient.js'
import { BackendTable } from './backend/backendTable.js'
import { CallerServer } from './http/callerServer.js'
import { createLog } from './log.js'
import { RouterMetrics } from './metrics.js'
import type { ResolvedRouterOptions } from './options.js'
import { OperatorRoutes } from './operators/operatorRoutes.js'
import { Peers } from './peers/peers.js'
import { PlatformLoops, flushLedger } from './platform/platformLoops.js'
import { RatingsClient } from './ratings/ratingsClient.js'
import { Decisions } from './request/decision.js'
import type { RouterNode, RouterPolicies } from './routerNode.js'

/** Pause between last attempts to store billing records, in milliseconds. */
const LAST_FLUSH_PAUSE_MS = 200

/** Attempts to store billing records before a leaving instance relies on its copies. */
const LAST_FLUSH_ATTEMPTS = 25

/**
 * A running router.
 *
 * @example
 * const router = await Router.create(resolved)
 * await router.close()
 */
export class Router {
  #leaving = false
  #hasList = false
  #server!: CallerServer
  #loops!: PlatformLoops

  private constructor(
    private readonly node: RouterNode,
    private readonly platform: PlatformClient,
    private readonly peers: Peers,
    private readonly ratings: RatingsClient,
  ) {}

  static async create(cfg: ResolvedRouterOptions): Promise<Router> {
    const log = createLog(cfg.node)
    const metrics = RouterMetrics.create()
    const platform = PlatformClient.create({
      url: cfg.platform,
      onCall: (operation) => {
        metrics.platformCalls.inc({ operation })
      },
    })
    const incarnation = `${cfg.node}-${wallClock().toString(36)}`
    const operators = OperatorRoutes.create()
    const peers = await Peers.create({
      fallback: operators.handle,
      self: { node: cfg.node, incarnation, zone: cfg.zone, region: cfg.region },
      host: cfg.host,
      port: cfg.peerPort,
      heartbeatMs: cfg.heartbeatMs,
      createMembers: (self) => MemberTable.create({ self, clock: monotonicClock }),
      onError: (err) => {
        log.error('a heartbeat failed', err)
      },
    })
    const estimates = QualityEstimates.create()
    const ratings = RatingsClient.create({
      url: cfg.ratings,
      node: cfg.node,
      onRating: (classKey, versionKey, score) => {
        estimates.rate(classKey, versionKey, score)
      },
    })
    const node: RouterNode = {
      cfg,
      config: ConfigHolder.create({ clock: monotonicClock, freshMs: cfg.configFreshMs }),
      backends: BackendTable.create(),
      client: BackendClient.create(),
      members: peers.members,
      claims: ClaimTable.create({ store: platform, kind: 'claim', wallClock }),
      sessions: ClaimTable.create({ store: platform, kind: 'session', wallClock }),
      ledger: Ledger.create({ store: platform, incarnation }),
      estimates,
      retryBudget: RetryBudget.create(),
      policies: defaultPolicies(cfg),
      decisions: Decisions.create({ capacity: cfg.decisionsKept, clock: monotonicClock }),
      metrics,
      log,
      random: seededRandom(cfg.seed),
      clock: monotonicClock,
      wallClock,
      copyRecord: (record) => peers.copies.copy(record),
      requestRating: (answer) => {
        ratings.request(answer)
      },
      inProgress: 0,
    }
    operators.serve(node)
    const router = new Router(node, platform, peers, ratings)
    await router.#start()
    return router
  }

  /** `host:port` for callers. */
  get address(): string {
    return this.#server.address
  }

  /** `host:port` for other entry instances. */
  get peerAddress(): string {
    return this.peers.address
  }

  /** Leaves: waits for the balancer, finishes requests, stores records, then stops. */
  async close(): Promise<void> {
    if (this.#leaving) return
    this.#leaving = true
    this.node.log.info('leaving')
    await this.peers.heartbeats.leave()
    await delay(this.node.cfg.drainGraceMs)
    await this.#server.close()
    await this.#storeRecords()
    await this.#loops.close()
    await this.ratings.close()
    this.node.claims.close()
    this.node.sessions.close()
    await this.peers.close()
    this.node.client.close()
    this.platform.close()
    this.node.log.info('left')
  }

  async #start(): Promise<void> {
    const { node, platform, peers } = this
    this.#loops = PlatformLoops.create({
      node,
      platform,
      onInstances: (instances) => {
        node.backends.replace(instances)
        this.#hasList = true
        peers.setListed(instances)
      },
      onStored: (requestIds) => void peers.copies.drop(requestIds),
    })
    const isReady = (): boolean => !this.#leaving && this.#hasList && node.config.isFresh
    this.#server = await CallerServer.create({ node, isReady })
  }

  async #storeRecords(): Promise<void> {
    const { node, peers } = this
    const onStored = (ids: readonly string[]): void => void peers.copies.drop(ids)
    for (let i = 0; i < LAST_FLUSH_ATTEMPTS; i++) {
      await flushLedger({ node, onStored })
      if (node.ledger.pendingCount === 0) return
      await delay(LAST_FLUSH_PAUSE_MS)
    }
    node.log.warn('records left to their copies', { pending: node.ledger.pendingCount })
  }
}

function defaultPolicies(cfg: ResolvedRouterOptions): RouterPolicies {
  return {
    admit: concurrencyLimit(cfg.maxInProgress),
    chooseVersions: cheapestMeetingTarget,
    chooseReplica: twoRandomChoices,
  }
}
