/** One entry instance: its start, its changes and its end. */
import { setTimeout as delay } from 'node:timers/promises'
import { Ticker } from '@wagtailway/core'
import type { Instance } from '@wagtailway/platform'
import { CallerServer } from './http/callerServer.js'
import { setMembershipMetrics, setPoolMetrics } from './metrics.js'
import type { ResolvedRouterOptions } from './options.js'
import { entriesOf } from './peers/createExchangeNode.js'
import { PlatformLoops, flushLedger } from './platform/platformLoops.js'
import { createParts, type RouterParts } from './routerParts.js'

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

  private constructor(private readonly parts: RouterParts) {}

  static async create(cfg: ResolvedRouterOptions): Promise<Router> {
    // The peers tell of changes only after the router exists.
    const holder: { router?: Router } = {}
    const parts = await createParts(cfg, () => {
      holder.router?.refresh()
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

  /** Leaves: waits for the balancer, finishes requests, stores records, then stops. */
  async close(): Promise<void> {
    if (this.#leaving) return
    this.#leaving = true
    const { node, platform, peers, ratings, rollouts, claimStore, loopLag } = this.parts
    node.log.info('leaving')
    await peers.exchanges.leave()
    await delay(node.cfg.drainGraceMs)
    await this.#server.close()
    await this.#storeRecords()
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

  /** Takes over what the exchanges or the platform have changed. */
  refresh(): void {
    const { node, peers } = this.parts
    const { instances } = peers.node.instances
    if (instances !== this.#instances) {
      this.#instances = instances
      node.backends.replace(instances)
      this.parts.budget.setNodeCount(entriesOf(instances).length)
      peers.forgetGone()
    }
    if (node.config.revision !== this.#revision) {
      this.#revision = node.config.revision
      this.parts.rollouts.refresh()
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
        setPoolMetrics(node.metrics, node.backends.pools())
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
    const { peers, node } = this.parts
    node.metrics.copiesKept.set(peers.copies.count)
    this.parts.claimStore.shareCalls(
      peers.claims.ownedRanges,
      node.members.alive().length + 1,
    )
    await node.sessions.flush()
  }

  async #storeRecords(): Promise<void> {
    const { node } = this.parts
    for (let i = 0; i < LAST_FLUSH_ATTEMPTS; i++) {
      await flushLedger({ node })
      if (node.ledger.pendingCount === 0) return
      await delay(LAST_FLUSH_PAUSE_MS)
    }
    node.log.warn('records left to their copies', { pending: node.ledger.pendingCount })
  }
}
