/** One entry instance: puts the parts together and takes them apart again. */
import { setTimeout as delay } from 'node:timers/promises'
import {
  ConfigHolder,
  Ledger,
  MemberTable,
  PinBacklog,
  QualityEstimates,
  RetryBudget,
  SessionPins,
  Ticker,
  cheapestMeetingTarget,
  concurrencyLimit,
  monotonicClock,
  seededRandom,
  twoRandomChoices,
  wallClock,
  type Claims,
} from '@wagtailway/core'
import { PlatformClient } from '@wagtailway/platform'
import { BackendClient } from './backend/backendClient.js'
import { BackendTable } from './backend/backendTable.js'
import { CallerServer } from './http/callerServer.js'
import { createLog } from './log.js'
import { RouterMetrics } from './metrics.js'
import type { ResolvedRouterOptions } from './options.js'
import { createClaimTables } from './peers/claimTables.js'
import type { ClaimTables } from './peers/peerClaims.js'
import { Peers } from './peers/peers.js'
import { PlatformLoops, flushLedger } from './platform/platformLoops.js'
import { RatingsClient } from './ratings/ratingsClient.js'
import type { RouterNode, RouterPolicies } from './routerNode.js'

/** Pause between last attempts to store billing records, in milliseconds. */
const LAST_FLUSH_PAUSE_MS = 200

/** Pause between writes of session pins that were answered before, in milliseconds. */
const PIN_FLUSH_MS = 500

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
  #pinTicker!: Ticker

  private constructor(
    private readonly node: RouterNode,
    private readonly platform: PlatformClient,
    private readonly peers: Peers,
    private readonly ratings: RatingsClient,
    private readonly tables: ClaimTables,
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
    const random = seededRandom(cfg.seed)
    const ledger = Ledger.create({ store: platform, incarnation })
    const tables = createClaimTables({ store: platform, random, metrics })
    const peers = await Peers.create({
      self: { node: cfg.node, incarnation, zone: cfg.zone, region: cfg.region },
      host: cfg.host,
      port: cfg.peerPort,
      heartbeatMs: cfg.heartbeatMs,
      createMembers: (self) => MemberTable.create({ self, clock: monotonicClock }),
      store: platform,
      ledger,
      tables,
      onRecovered: (count) => {
        metrics.recoveredRecords.inc(count)
        log.info('stored records of instances that went silent', { count })
      },
      onClaimFallback: (kind) => {
        metrics.claimEvents.inc({ kind, event: 'owner_fallback' })
      },
      onError: (err) => {
        log.error('an exchange with other instances failed', err)
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
      claims: peers.claims.of.claim,
      sessions: createSessionPins(peers.claims.of.session, metrics),
      ledger,
      estimates,
      retryBudget: RetryBudget.create(),
      policies: defaultPolicies(cfg),
      metrics,
      log,
      random,
      clock: monotonicClock,
      wallClock,
      copyRecord: (entry) => peers.copies.copy(entry),
      requestRating: (answer) => {
        ratings.request(answer)
      },
      inProgress: 0,
    }
    const router = new Router(node, platform, peers, ratings, tables)
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
    await this.node.sessions.flush()
    await this.peers.copies.handOver()
    await this.#pinTicker.close()
    await this.#loops.close()
    await this.ratings.close()
    this.tables.claim.close()
    this.tables.session.close()
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
    })
    this.#pinTicker = Ticker.create({
      intervalMs: PIN_FLUSH_MS,
      step: () => node.sessions.flush(),
      onError: (err) => {
        node.log.error('session pins were not written', err)
      },
    })
    const isReady = (): boolean => !this.#leaving && this.#hasList && node.config.isFresh
    this.#server = await CallerServer.create({ node, isReady })
  }

  async #storeRecords(): Promise<void> {
    const { node } = this
    for (let i = 0; i < LAST_FLUSH_ATTEMPTS; i++) {
      await flushLedger({ node })
      if (node.ledger.pendingCount === 0) return
      await delay(LAST_FLUSH_PAUSE_MS)
    }
    node.log.warn('records left to their copies', { pending: node.ledger.pendingCount })
  }
}

function createSessionPins(claims: Claims, metrics: RouterMetrics): SessionPins {
  const backlog = PinBacklog.create({
    claim: (request) => claims.claim(request),
    onConflict: () => {
      metrics.sessionPins.inc({ source: 'conflict' })
    },
    onDrop: () => {
      metrics.sessionPins.inc({ source: 'dropped' })
    },
  })
  return SessionPins.create({ claims, backlog })
}

function defaultPolicies(cfg: ResolvedRouterOptions): RouterPolicies {
  return {
    admit: concurrencyLimit(cfg.maxInProgress),
    chooseVersions: cheapestMeetingTarget,
    chooseReplica: twoRandomChoices,
  }
}
