/** Lifecycle of one entry instance: start, updates and shutdown. */
import { setTimeout as delay } from 'node:timers/promises'
import { Ticker } from '@wagtailway/core'
import type { LifeObserver } from '@wagtailway/core/process'
import type { Instance } from '@wagtailway/platform'
import { CallerServer } from './http/callerServer.js'
import { setMembershipMetrics, setPoolMetrics } from './metrics.js'
import type { ResolvedRouterOptions } from './options.js'
import { entryInstancesOf } from './peers/createExchangeNode.js'
import { PlatformLoops, flushLedger } from './platform/platformLoops.js'
import { createParts, type RouterParts } from './routerParts.js'

/** Pause between attempts to store billing records during shutdown, in milliseconds. */
const SHUTDOWN_FLUSH_PAUSE_MS = 200

/** Pause between writes of session pins whose requests were answered already, in milliseconds. */
const PIN_FLUSH_MS = 500

/** Time after which an instance becomes ready although it knows no other, in milliseconds. */
const MAX_PEER_WAIT_MS = 5_000

/** Pause between two sweeps of requests that have waited too long, in milliseconds. */
const SWEEP_MS = 100

/** Attempts to store billing records during shutdown before relying on their copies. */
const SHUTDOWN_FLUSH_ATTEMPTS = 25

/**
 * A running router.
 *
 * @example
 * const router = await Router.create(resolved)
 * await router.close()
 */
export class Router {
  #isShuttingDown = false
  #instances: readonly Instance[] = []
  #revision = 0
  #server!: CallerServer
  #loops!: PlatformLoops
  #pinTicker!: Ticker
  #sweepTicker!: Ticker

  private constructor(private readonly parts: RouterParts) {}

  static async create(cfg: ResolvedRouterOptions): Promise<Router> {
    // Changes reported by peers are ignored until the router has started.
    const holder: { router?: Router } = {}
    const parts = await createParts(cfg, () => {
      holder.router?.applyUpdates()
    })
    const router = new Router(parts)
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
    return this.parts.peers.address
  }

  /** Logs what happens to the process. */
  get lifeObserver(): LifeObserver {
    const { log, metrics } = this.parts.node
    return {
      flush: this.parts.closeLog,
      onUnforeseen: (kind) => {
        metrics.unforeseenErrors.inc({ kind })
      },
      log: (event, fields) => {
        log.info(event, fields)
      },
      onHangup: () => {
        log.info('signal_ignored', { signal: 'SIGHUP' })
      },
    }
  }

  /**
   * Shuts down: notifies peers, waits for the load balancer, drains requests in progress, stores
   * billing records and session pins, hands over record copies, then stops.
   */
  async close(): Promise<void> {
    if (this.#isShuttingDown) return
    this.#isShuttingDown = true
    const { node, platform, peers, ratings, rollouts, claimStore, loopLag } = this.parts
    node.log.info('leaving')
    await peers.exchanges.announceShutdown()
    await delay(node.cfg.drainGraceMs)
    await this.#server.close()
    await this.#flushRecords()
    await node.sessions.flush()
    await peers.copies.handOver()
    await this.#pinTicker.close()
    await this.#sweepTicker.close()
    await this.#loops.close()
    await ratings.close()
    await rollouts.close()
    claimStore.close()
    await peers.close()
    node.client.close()
    platform.close()
    loopLag.close()
    node.log.info('left')
  }

  /** Applies changes of the instance list and of the configuration. */
  applyUpdates(): void {
    const { node, peers } = this.parts
    const { instances } = peers.node.instances
    if (instances !== this.#instances) {
      this.#instances = instances
      node.backends.replace(instances)
      this.parts.budget.setNodeCount(entryInstancesOf(instances).length)
      peers.dropStaleClients()
    }
    if (node.config.revision !== this.#revision) {
      this.#revision = node.config.revision
      this.parts.rollouts.applyConfig()
      node.log.info('configuration in force', { revision: this.#revision })
    }
    setMembershipMetrics(node.metrics, peers.node)
  }

  async #start(): Promise<void> {
    const { node, platform, peers } = this.parts
    this.#loops = PlatformLoops.create({
      node,
      exchange: peers.node,
      platform,
      onChange: () => {
        this.applyUpdates()
      },
    })
    this.#pinTicker = Ticker.create({
      intervalMs: PIN_FLUSH_MS,
      step: () => this.#maintainClaims(),
      onError: (err) => {
        node.log.error('session pins were not written', err)
      },
    })
    this.#sweepTicker = Ticker.create({
      intervalMs: SWEEP_MS,
      step: () => {
        node.backends.sweep()
        setPoolMetrics(node.metrics, node.backends.pools())
        return Promise.resolve()
      },
      onError: (err) => {
        node.log.error('waiting requests were not swept', err)
      },
    })
    const startMs = node.clock()
    // Responses sent before a peer is known would have no copy of their billing record.
    const hasPeers = (): boolean =>
      node.members.alive().length > 0 ||
      entryInstancesOf(this.#instances).length <= 1 ||
      node.clock() - startMs > MAX_PEER_WAIT_MS
    const isReady = (): boolean =>
      !this.#isShuttingDown &&
      peers.node.instances.hash !== 0 &&
      node.config.isFresh &&
      hasPeers()
    this.#server = await CallerServer.create({ node, isReady })
  }

  async #maintainClaims(): Promise<void> {
    const { peers, node } = this.parts
    node.metrics.copiesKept.set(peers.copies.count)
    this.parts.claimStore.setCallShare(
      peers.claims.ownedRanges,
      node.members.alive().length + 1,
    )
    await node.sessions.flush()
  }

  async #flushRecords(): Promise<void> {
    const { node } = this.parts
    for (let i = 0; i < SHUTDOWN_FLUSH_ATTEMPTS; i++) {
      await flushLedger({ node })
      if (node.ledger.pendingCount === 0) return
      await delay(SHUTDOWN_FLUSH_PAUSE_MS)
    }
    node.log.warn('records left to their copies', { pending: node.ledger.pendingCount })
  }
}
