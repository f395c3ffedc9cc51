/** One entry instance: puts the parts together and takes them apart again. */
import { setTimeout as delay } from 'node:timers/promises'
import {
  CallBudget,
  EvidenceTable,
  ExchangeNode,
  InstanceHolder,
  Ledger,
  PauseGuard,
  QualityEstimates,
  RetryBudget,
  ServerPool,
  Ticker,
  cheapestShownGood,
  concurrencyLimit,
  leastLoaded,
  monotonicClock,
  ownLoad,
  seededRandom,
  wallClock,
  type MemberIdentity,
  type Random,
} from '@wagtailway/core'
import { PlatformClient, instanceSchema, type Instance } from '@wagtailway/platform'
import { BackendClient } from './backend/backendClient.js'
import { BackendTable } from './backend/backendTable.js'
import { CallerServer } from './http/callerServer.js'
import { createLog } from './log.js'
import { RouterMetrics, setMembershipMetrics } from './metrics.js'
import type { ResolvedRouterOptions } from './options.js'
import { OperatorRoutes } from './operators/operatorRoutes.js'
import { ClaimStore } from './peers/claimStore.js'
import { Peers } from './peers/peers.js'
import { createSessionPins } from './peers/sessionPins.js'
import { PlatformLoops, flushLedger } from './platform/platformLoops.js'
import { RatingsClient } from './ratings/ratingsClient.js'
import { Decisions } from './request/decision.js'
import { Rollouts } from './rollout/rollouts.js'
import type { RouterNode, RouterPolicies } from './routerNode.js'

/** Pause between last attempts to store billing records, in milliseconds. */
const LAST_FLUSH_PAUSE_MS = 200

/** Pause between writes of session pins that were answered before, in milliseconds. */
const PIN_FLUSH_MS = 500

/** Time after which an instance is ready though it knows no other, in milliseconds. */
const PEERS_WAIT_MS = 5_000

/** Pause between two looks for requests that have waited too long, in milliseconds. */
const SWEEP_MS = 100

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
  #instances: readonly Instance[] = []
  #revision = 0
  #server!: CallerServer
  #loops!: PlatformLoops
  #pinTicker!: Ticker
  #sweepTicker!: Ticker

  private constructor(
    private readonly node: RouterNode,
    private readonly platform: PlatformClient,
    private readonly peers: Peers,
    private readonly ratings: RatingsClient,
    private readonly rollouts: Rollouts,
    private readonly budget: CallBudget,
    private readonly claimStore: ClaimStore,
  ) {}

  static async create(cfg: ResolvedRouterOptions): Promise<Router> {
    const log = createLog(cfg.node)
    const metrics = RouterMetrics.create()
    const random = seededRandom(cfg.seed)
    const budget = CallBudget.create({ clock: monotonicClock, random })
    const platform = createPlatform(cfg, budget, metrics)
    const incarnation = `${cfg.node}-${wallClock().toString(36)}`
    // The peers tell of changes only after the router exists.
    const holder: { router?: Router } = {}
    const ledger = Ledger.create({ store: platform, incarnation })
    const claimStore = ClaimStore.create({ platform: cfg.platform, random, metrics })
    const operators = OperatorRoutes.create()
    const pauses = PauseGuard.create({ clock: monotonicClock })
    const peers = await Peers.create({
      fallback: operators.handle,
      self: { node: cfg.node, incarnation, zone: cfg.zone, region: cfg.region },
      host: cfg.host,
      port: cfg.peerPort,
      clock: monotonicClock,
      intervalMs: cfg.heartbeatMs,
      createNode: (self) => createExchangeNode(cfg, self, random),
      onChange: () => {
        pauses.beat()
        holder.router?.refresh()
      },
      onBytes: (bytes) => {
        metrics.controlBytes.inc(bytes)
      },
      store: platform,
      ledger,
      tables: claimStore.tables,
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
    const policies = defaultPolicies(cfg)
    const createPool = (): ServerPool =>
      ServerPool.create({
        clock: monotonicClock,
        random,
        zone: cfg.zone,
        chooseReplica: policies.chooseReplica,
      })
    const evidence = EvidenceTable.create({ source: incarnation, clock: wallClock })
    const estimates = QualityEstimates.create({ evidence })
    const rollouts = Rollouts.create({
      store: platform,
      config: peers.config,
      members: peers.members,
      values: peers.node.values,
      estimates,
      qualityEvidence: evidence,
      incarnation,
      node: cfg.node,
      clock: monotonicClock,
      metrics,
      log,
    })
    const ratings = RatingsClient.create({
      url: cfg.ratings,
      node: cfg.node,
      onRating: (classKey, versionKey, score) => {
        metrics.ratings.inc({ event: 'received' })
        estimates.add('quality', classKey, versionKey, score)
        rollouts.board.rated(versionKey, classKey, score)
      },
    })
    const node: RouterNode = {
      cfg,
      config: peers.config,
      backends: BackendTable.create(createPool),
      client: BackendClient.create(),
      members: peers.members,
      claims: peers.claims.of.claim,
      sessions: createSessionPins(peers.claims.of.session, metrics),
      ledger,
      estimates,
      rollouts: rollouts.board,
      retryBudget: RetryBudget.create(),
      policies,
      decisions: Decisions.create({ capacity: cfg.decisionsKept, clock: monotonicClock }),
      metrics,
      log,
      random,
      clock: monotonicClock,
      wallClock,
      copyRecord: (entry) => peers.copies.copy(entry),
      requestRating: (answer) => {
        ratings.request(answer)
      },
      isListCurrent: () =>
        pauses.isCurrent(peers.node.instances.ageMs) || peers.config.isGoingOn,
      inProgress: 0,
    }
    operators.serve(node)
    const router = new Router(
      node,
      platform,
      peers,
      ratings,
      rollouts,
      budget,
      claimStore,
    )
    await router.#start()
    holder.router = router
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
    await this.peers.exchanges.leave()
    await delay(this.node.cfg.drainGraceMs)
    await this.#server.close()
    await this.#storeRecords()
    await this.node.sessions.flush()
    await this.peers.copies.handOver()
    await this.#pinTicker.close()
    await this.#sweepTicker.close()
    await this.#loops.close()
    await this.ratings.close()
    await this.rollouts.close()
    this.claimStore.close()
    await this.peers.close()
    this.node.client.close()
    this.platform.close()
    this.node.log.info('left')
  }

  /** Takes over what the exchanges or the platform have changed. */
  refresh(): void {
    const { node, peers } = this
    const { instances } = peers.node.instances
    if (instances !== this.#instances) {
      this.#instances = instances
      node.backends.replace(instances)
      this.budget.shareAmong(entriesOf(instances).length)
      peers.forgetGone()
    }
    if (node.config.revision !== this.#revision) {
      this.#revision = node.config.revision
      this.rollouts.refresh()
      node.log.info('configuration in force', { revision: this.#revision })
    }
    setMembershipMetrics(node.metrics, peers.node)
  }

  async #start(): Promise<void> {
    const { node, platform, peers } = this
    this.#loops = PlatformLoops.create({
      node,
      exchange: peers.node,
      platform,
      onChange: () => {
        this.refresh()
      },
    })
    this.#pinTicker = Ticker.create({
      intervalMs: PIN_FLUSH_MS,
      step: () => this.#keepClaims(),
      onError: (err) => {
        node.log.error('session pins were not written', err)
      },
    })
    this.#sweepTicker = Ticker.create({
      intervalMs: SWEEP_MS,
      step: () => {
        node.backends.sweep()
        return Promise.resolve()
      },
      onError: (err) => {
        node.log.error('waiting requests were not swept', err)
      },
    })
    const startMs = node.clock()
    // Answers given before another instance is known have no copy of their record.
    const hasPeers = (): boolean =>
      node.members.alive().length > 0 ||
      entriesOf(this.#instances).length <= 1 ||
      node.clock() - startMs > PEERS_WAIT_MS
    const isReady = (): boolean =>
      !this.#leaving &&
      peers.node.instances.hash !== 0 &&
      node.config.isFresh &&
      hasPeers()
    this.#server = await CallerServer.create({ node, isReady })
  }

  async #keepClaims(): Promise<void> {
    const { peers, node } = this
    node.metrics.copiesKept.set(peers.copies.count)
    this.claimStore.shareCalls(peers.claims.ownedRanges, node.members.alive().length + 1)
    await node.sessions.flush()
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

function createPlatform(
  cfg: ResolvedRouterOptions,
  budget: CallBudget,
  metrics: RouterMetrics,
): PlatformClient {
  return PlatformClient.create({
    url: cfg.platform,
    budget,
    onCall: (operation) => {
      metrics.platformCalls.inc({ operation })
    },
    onHeldBack: (operation, reason) => {
      metrics.platformCallsHeldBack.inc({ operation, reason })
    },
    onFailure: (operation) => {
      metrics.platformFailures.inc({ operation })
    },
  })
}

function createExchangeNode(
  cfg: ResolvedRouterOptions,
  self: MemberIdentity,
  random: Random,
): ExchangeNode<Instance> {
  const clock = monotonicClock
  return ExchangeNode.create({
    self,
    clock,
    random,
    freshMs: cfg.configFreshMs,
    instances: InstanceHolder.create({
      clock,
      idOf: ({ id }) => id,
      parse: (json) => instanceSchema.parse(json),
      isLeaving: ({ state }) => state === 'leaving',
    }),
    entriesOf,
    seeds: cfg.seeds,
  })
}

/** The entry instances of a list; their ids are the nodes' names. */
function entriesOf(instances: readonly Instance[]): { node: string; address: string }[] {
  return instances
    .filter(({ role }) => role === 'entry')
    .map(({ id, address }) => ({ node: id, address }))
}

function defaultPolicies(cfg: ResolvedRouterOptions): RouterPolicies {
  return {
    admit: concurrencyLimit(cfg.maxInProgress),
    chooseVersions: cheapestShownGood({ clock: monotonicClock }),
    chooseReplica: leastLoaded(ownLoad),
  }
}
