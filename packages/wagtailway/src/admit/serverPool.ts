/**
 * Admission to the replicas of one version or plain service.
 *
 * A request starts at once if a replica's window has room; otherwise it waits
 * in a fair queue as long as it can still be answered in time. One that can't
 * is refused the moment this is known, not when its time has run out.
 */
import type { Clock } from '../clock.js'
import type { Random } from '../random.js'
import { notRun, type Refusal } from '../refusal.js'
import type { ReplicaPolicy } from '../route/replicaPolicy.js'
import type { AdaptiveWindowOptions } from './adaptiveWindow.js'
import { DecayingAverage } from './decayingAverage.js'
import { FairQueue, type QueueItem } from './fairQueue.js'
import { PoolTimes } from './poolTimes.js'
import { PooledServer, type Replica } from './pooledServer.js'
import { retryAfterMs } from './retryAfter.js'

/** A place at a replica; given back to the pool with what is learned of it. */
export interface PoolSlot {
  readonly replicaId: string
  /** Number of the request in the replica's window. */
  readonly request: number
}

export interface Waiter extends QueueItem {
  /** Longest time from now to the first token that is still of use, in milliseconds. */
  readonly usefulMs: number
  /** Replicas that have failed this request already. */
  readonly avoid?: ReadonlySet<string>
  /** Called at most once, when the request may start. */
  readonly grant: (grant: PoolSlot) => void
  /** Called at most once, instead of `grant`. */
  readonly refuse: (refusal: Refusal) => void
}

export interface ServerPoolOptions {
  readonly clock: Clock
  readonly random: Random
  readonly zone: string
  readonly selectReplica: ReplicaPolicy
  readonly window?: AdaptiveWindowOptions
  /**
   * Waiting requests beyond which more are refused, whatever their estimate.
   * @default 1_000
   */
  readonly maxWaiting?: number
  /**
   * Priority from which a request may start beyond the window: the replica
   * serves it before what waits there, so it doesn't depend on this node's own places.
   * @default 8
   */
  readonly urgentPriority?: number
  /**
   * Places beyond the window for urgent requests.
   * @default 2
   */
  readonly urgentExtra?: number
}

interface Waiting extends Waiter {
  readonly arrivedMs: number
}

const AVERAGE_WEIGHT = 0.05
/** Excess that is assumed when nothing at all is let in. */
const MAX_EXCESS = 30

const NO_REPLICA_RETRY_MS = 1_000

/** A waiting request is given up once its estimate exceeds its time by this factor. */
const GIVE_UP_FACTOR = 1.25

/**
 * Replicas of one version with their windows, breakers and waiting requests.
 *
 * @example
 * const pool = ServerPool.create({ clock, random, zone: 'z1', chooseReplica })
 * pool.setReplicas([{ id: 'e1', zone: 'z1' }])
 * pool.enter(waiter)
 * pool.observeFirstToken(place, 80, 1_000)
 * pool.finish(place, 4_000, true)
 */
export class ServerPool {
  #servers = new Map<string, PooledServer>()
  readonly #queue: FairQueue<Waiting>
  readonly #times: PoolTimes
  /** One for a request that was let in, zero for one that was refused. */
  readonly #admitted = DecayingAverage.create(AVERAGE_WEIGHT)

  private constructor(private readonly opts: ServerPoolOptions) {
    this.#queue = FairQueue.create<Waiting>({ clock: opts.clock })
    this.#times = PoolTimes.create(opts.clock)
  }

  static create(opts: ServerPoolOptions): ServerPool {
    return new ServerPool(opts)
  }

  /** Requests waiting for a place. */
  get waiting(): number {
    return this.#queue.size
  }

  /** Requests in progress at all replicas. */
  get inFlight(): number {
    return sum(this.#servers, ({ window }) => window.inFlight)
  }

  /** Replicas whose breaker lets requests through. */
  get healthy(): number {
    return sum(this.#servers, ({ breaker }) => (breaker.allows ? 1 : 0))
  }

  /** Takes over the live replicas; what is known of those that stay is kept. */
  setReplicas(replicas: readonly Replica[]): void {
    const next = replicas.map((replica) => {
      const known = this.#servers.get(replica.id)
      return [replica.id, known ?? PooledServer.create(replica, this.opts)] as const
    })
    this.#servers = new Map(next)
    this.#startWaiting()
  }

  /** Notes the load that a replica reported. */
  report(replicaId: string, load: number, ageMs: number): void {
    this.#servers.get(replicaId)?.report(load, ageMs)
  }

  /** Grants, queues or refuses a request; the waiter's callbacks tell which. */
  submit(waiter: Waiter): () => void {
    const waiting = { ...waiter, arrivedMs: this.opts.clock() }
    const extra = this.#extraFor(waiting)
    if ((this.#queue.size === 0 || extra > 0) && this.#start(waiting, extra)) {
      this.#queue.pass(waiting)
      return NOTHING
    }
    this.#giveUpLate()
    const refusal = this.#refusalFor(waiting)
    if (refusal) {
      this.#refuse(waiting, refusal)
      return NOTHING
    }
    this.#queue.push(waiting)
    this.#giveUpLate()
    return () => void this.#queue.remove(waiting)
  }

  /** Notes the time to a first token, of which `targetMs` was wanted, in milliseconds. */
  observeFirstToken(place: PoolSlot, firstTokenMs: number, targetMs: number): void {
    this.#observe(place, this.#times.firstToken(firstTokenMs, targetMs))
  }

  /** Notes the time of an answer that came in one piece. */
  observeFullResponse(
    place: PoolSlot,
    totalMs: number,
    tokens: number,
    targetMs: number,
  ): void {
    this.#observe(place, this.#times.whole(totalMs, tokens, targetMs))
  }

  /**
   * Notes that a request has left its replica.
   *
   * @param ok Whether the replica worked; `undefined` if the end tells nothing about it.
   */
  finish({ replicaId }: PoolSlot, heldMs: number, ok: boolean | undefined): void {
    if (ok === true) this.#times.held(heldMs)
    this.#servers.get(replicaId)?.finish(ok)
    this.#startWaiting()
  }

  /** Refuses what has waited too long; to be called regularly, for replicas may fall silent. */
  sweep(): void {
    for (const waiting of this.#queue.items()) {
      if (this.#leftMs(waiting) >= 0) continue
      this.#queue.remove(waiting)
      this.#refuse(waiting, this.#overloaded())
    }
    this.#startWaiting()
  }

  #observe({ replicaId, request }: PoolSlot, pressure: number): void {
    this.#servers.get(replicaId)?.window.observe(request, pressure)
    this.#startWaiting()
  }

  #startWaiting(): void {
    while (this.#queue.size > 0 && this.#open(undefined).length > 0) {
      const next = this.#queue.shift()
      if (!next) return
      if (this.#leftMs(next) < 0) this.#refuse(next, this.#overloaded())
      else if (!this.#start(next)) this.#refuse(next, this.#noReplica())
    }
  }

  /** Starts a request on a replica with room; false if there is none. */
  #start(waiting: Waiting, extra = 0): boolean {
    const open = this.#open(waiting.avoid, extra)
    const { random, zone, selectReplica: chooseReplica } = this.opts
    const replicas = open.map((server) => server.view())
    const chosen = chooseReplica({ replicas, zone, random })
    const server = chosen && this.#servers.get(chosen.id)
    if (!server) return false
    this.#admitted.add(1)
    waiting.grant({ replicaId: server.replica.id, request: server.start() })
    return true
  }

  /** Replicas that can take a request now. */
  #open(avoid: ReadonlySet<string> | undefined, extra = 0): PooledServer[] {
    return this.#usable(avoid).filter(({ window }) => window.hasRoom(extra))
  }

  /** Places beyond the window that a request may take. */
  #extraFor(waiting: Waiting): number {
    const isUrgent = waiting.priority >= (this.opts.urgentPriority ?? 8)
    const mayExceed = isUrgent && this.#queue.isWithinShare(waiting)
    return mayExceed ? (this.opts.urgentExtra ?? 2) : 0
  }

  /** Replicas that may be used; breakers count only while most of them are closed. */
  #usable(avoid: ReadonlySet<string> | undefined): PooledServer[] {
    const all = [...this.#servers.values()]
    const healthy = all.filter(({ breaker }) => breaker.allows)
    // When most replicas fail, the requests or the network are to blame: spread over all.
    const usable = healthy.length * 2 >= all.length ? healthy : all
    return avoid ? usable.filter(({ replica }) => !avoid.has(replica.id)) : usable
  }

  #refusalFor(waiting: Waiting): Refusal | undefined {
    if (this.#usable(waiting.avoid).length === 0) return this.#noReplica()
    if (this.#queue.size >= (this.opts.maxWaiting ?? 1_000)) return this.#overloaded()
    if (this.#waitMs(waiting) > this.#leftMs(waiting)) return this.#overloaded()
    return undefined
  }

  /** Refuses waiting requests that newer ones of higher standing have made late. */
  #giveUpLate(): void {
    for (;;) {
      const late = this.#queue
        .tails()
        .filter(
          (waiting) => this.#waitMs(waiting) > this.#leftMs(waiting) * GIVE_UP_FACTOR,
        )
      if (late.length === 0) return
      for (const waiting of late) {
        this.#queue.remove(waiting)
        this.#refuse(waiting, this.#overloaded())
      }
    }
  }

  /** Time that a request can still wait and get its first token in time; negative if late. */
  #leftMs({ usefulMs, arrivedMs }: Waiting): number {
    const waitedMs = this.opts.clock() - arrivedMs
    return usefulMs - waitedMs - this.#times.meanFirstTokenMs
  }

  /** By Little's law places come free at the rate of all windows over the holding time. */
  #waitMs(waiting: Waiting): number {
    const places = sum(this.#servers, ({ window }) => Math.floor(window.limit))
    const perPlaceMs = this.#times.meanHoldMs / Math.max(1, places)
    return (this.#queue.ahead(waiting) + 1) * perPlaceMs
  }

  #refuse(waiting: Waiting, refusal: Refusal): void {
    this.#admitted.add(0)
    this.#queue.refuse(waiting)
    waiting.refuse(refusal)
  }

  #overloaded(): Refusal {
    const admitted = this.#admitted.value ?? 1
    const excess = admitted > 0 ? 1 / admitted : MAX_EXCESS
    const message = 'The backend servers are busy; come back later.'
    return notRun('overloaded', message, retryAfterMs(excess, this.opts.random))
  }

  #noReplica(): Refusal {
    const message = 'No backend server is live for this.'
    return notRun('no_backend', message, NO_REPLICA_RETRY_MS)
  }
}

const NOTHING = (): void => undefined

function sum(
  servers: ReadonlyMap<string, PooledServer>,
  of: (server: PooledServer) => number,
): number {
  let total = 0
  for (const server of servers.values()) total += of(server)
  return total
}
