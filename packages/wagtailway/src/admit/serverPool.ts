/**
 * Admission control for the replicas of one version or plain service.
 *
 * A request starts immediately if a replica's concurrency window has room.
 * Otherwise it waits in a fair queue while its first token can still arrive in
 * time. A request that would be late is refused as soon as the estimate shows
 * it, not only when its deadline passes.
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

/** A concurrency slot at a replica; the holder reports latencies and the release to the pool. */
export interface PoolSlot {
  readonly replicaId: string
  /** Sequence number of the request in the replica's window. */
  readonly requestNumber: number
}

export interface PoolRequest extends QueueItem {
  /** Longest acceptable time to the first token, from submission, in milliseconds. */
  readonly maxFirstTokenMs: number
  /** Ids of replicas where an attempt of this request has failed already. */
  readonly excludedReplicas?: ReadonlySet<string>
  /** Called at most once, when the request may start. */
  readonly grant: (grantedSlot: PoolSlot) => void
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
   * Maximum number of queued requests; further ones are refused whatever their estimated wait.
   * @default 1_000
   */
  readonly maxWaiting?: number
  /**
   * Lowest priority that may start beyond the window. The replica serves such a
   * request before those queued there, so it need not wait for a slot of this node.
   * @default 8
   */
  readonly urgentPriority?: number
  /**
   * Slots beyond the window for urgent requests, per replica.
   * @default 2
   */
  readonly urgentExtraSlots?: number
}

interface QueuedRequest extends PoolRequest {
  readonly arrivedAtMs: number
}

/** Weight of a new request in the average fraction of admitted requests. */
const AVERAGE_WEIGHT = 0.05
/** Overload factor assumed when no request is admitted at all. */
const MAX_OVERLOAD_FACTOR = 30

const NO_REPLICA_RETRY_MS = 1_000

/**
 * A queued request is refused once its estimated wait exceeds its remaining time by
 * this factor.
 */
const LATE_FACTOR = 1.25

/**
 * The replicas of one version, each with a window and a circuit breaker, and the queue for them.
 *
 * @example
 * const pool = ServerPool.create({ clock, random, zone: 'z1', selectReplica })
 * pool.setReplicas([{ id: 'e1', zone: 'z1' }])
 * pool.submit(request)
 * pool.observeFirstToken(slot, 80, 1_000)
 * pool.finish(slot, 4_000, true)
 */
export class ServerPool {
  #servers = new Map<string, PooledServer>()
  readonly #queue: FairQueue<QueuedRequest>
  readonly #times: PoolTimes
  /** Average over requests: 1 for an admitted one, 0 for a refused one. */
  readonly #admittedShare = DecayingAverage.create(AVERAGE_WEIGHT)

  private constructor(private readonly opts: ServerPoolOptions) {
    this.#queue = FairQueue.create<QueuedRequest>({ clock: opts.clock })
    this.#times = PoolTimes.create(opts.clock)
  }

  static create(opts: ServerPoolOptions): ServerPool {
    return new ServerPool(opts)
  }

  /** Number of requests queued for a slot. */
  get waiting(): number {
    return this.#queue.size
  }

  /** Number of this node's requests in progress, over all replicas. */
  get inFlight(): number {
    return sumOver(this.#servers, ({ window }) => window.inFlight)
  }

  /** Number of replicas whose circuit breaker allows requests. */
  get healthy(): number {
    return sumOver(this.#servers, ({ breaker }) => (breaker.allows ? 1 : 0))
  }

  /** Replaces the set of live replicas; replicas that stay in it keep their state. */
  setReplicas(replicas: readonly Replica[]): void {
    const nextServers = replicas.map((replica) => {
      const knownServer = this.#servers.get(replica.id)
      return [replica.id, knownServer ?? PooledServer.create(replica, this.opts)] as const
    })
    this.#servers = new Map(nextServers)
    this.#startQueued()
  }

  /** Records the load that a replica reported `ageMs` milliseconds ago. */
  report(replicaId: string, load: number, ageMs: number): void {
    this.#servers.get(replicaId)?.report(load, ageMs)
  }

  /**
   * Grants a slot to a request, queues it or refuses it; its callbacks report the outcome.
   *
   * @returns A function that removes the request from the queue if it still waits there.
   */
  submit(poolRequest: PoolRequest): () => void {
    const queued = { ...poolRequest, arrivedAtMs: this.opts.clock() }
    const extraSlots = this.#extraSlotsFor(queued)
    if (
      (this.#queue.size === 0 || extraSlots > 0) &&
      this.#tryStart(queued, extraSlots)
    ) {
      this.#queue.recordServed(queued)
      return NO_OP
    }
    this.#refuseLate()
    const refusal = this.#refusalFor(queued)
    if (refusal) {
      this.#refuse(queued, refusal)
      return NO_OP
    }
    this.#queue.push(queued)
    this.#refuseLate()
    return () => void this.#queue.remove(queued)
  }

  /** Records a time to first token and its target, both in milliseconds. */
  observeFirstToken(slot: PoolSlot, firstTokenMs: number, targetMs: number): void {
    this.#recordPressure(slot, this.#times.recordFirstToken(firstTokenMs, targetMs))
  }

  /**
   * Records the total time of a response that was not streamed, its number of output tokens
   * and its target for the time to first token; times in milliseconds.
   */
  observeFullResponse(
    slot: PoolSlot,
    totalMs: number,
    tokens: number,
    targetMs: number,
  ): void {
    this.#recordPressure(slot, this.#times.recordFullResponse(totalMs, tokens, targetMs))
  }

  /**
   * Releases the slot of a finished request.
   *
   * @param heldMs Time for which the slot was held, in milliseconds.
   * @param ok Whether the replica worked; `undefined` if the result says nothing about its health.
   */
  finish({ replicaId }: PoolSlot, heldMs: number, ok: boolean | undefined): void {
    if (ok === true) this.#times.recordHold(heldMs)
    this.#servers.get(replicaId)?.finish(ok)
    this.#startQueued()
  }

  /**
   * Refuses queued requests whose time has run out. Must be called regularly:
   * replicas that stop responding trigger no other check.
   */
  sweep(): void {
    for (const queued of this.#queue.items()) {
      if (this.#remainingWaitMs(queued) >= 0) continue
      this.#queue.remove(queued)
      this.#refuse(queued, this.#overloaded())
    }
    this.#startQueued()
  }

  #recordPressure({ replicaId, requestNumber }: PoolSlot, pressure: number): void {
    this.#servers.get(replicaId)?.window.observe(requestNumber, pressure)
    this.#startQueued()
  }

  #startQueued(): void {
    while (this.#queue.size > 0 && this.#serversWithRoom(undefined).length > 0) {
      const next = this.#queue.shift()
      if (!next) return
      if (this.#remainingWaitMs(next) < 0) this.#refuse(next, this.#overloaded())
      else if (!this.#tryStart(next)) this.#refuse(next, this.#noReplica())
    }
  }

  /** Starts a request on a replica with room; returns false if there is none. */
  #tryStart(request: QueuedRequest, extraSlots = 0): boolean {
    const candidates = this.#serversWithRoom(request.excludedReplicas, extraSlots)
    const { random, zone, selectReplica: replicaPolicy } = this.opts
    const replicas = candidates.map((server) => server.view())
    const selected = replicaPolicy({ replicas, zone, random })
    const server = selected && this.#servers.get(selected.id)
    if (!server) return false
    this.#admittedShare.add(1)
    request.grant({ replicaId: server.replica.id, requestNumber: server.start() })
    return true
  }

  /** Usable replicas whose window has room for one more request. */
  #serversWithRoom(
    excluded: ReadonlySet<string> | undefined,
    extraSlots = 0,
  ): PooledServer[] {
    return this.#usableServers(excluded).filter(({ window }) =>
      window.hasRoom(extraSlots),
    )
  }

  /** Number of slots beyond the window that a request may use. */
  #extraSlotsFor(request: QueuedRequest): number {
    const isUrgent = request.priority >= (this.opts.urgentPriority ?? 8)
    const mayExceed = isUrgent && this.#queue.isWithinShare(request)
    return mayExceed ? (this.opts.urgentExtraSlots ?? 2) : 0
  }

  /**
   * Replicas that may serve a request; breakers are respected while at least half allow
   * requests.
   */
  #usableServers(excluded: ReadonlySet<string> | undefined): PooledServer[] {
    const allServers = [...this.#servers.values()]
    const healthy = allServers.filter(({ breaker }) => breaker.allows)
    // If most replicas fail, the cause is likely the requests or the network, not the
    // replicas: spread the load over all of them.
    const usable = healthy.length * 2 >= allServers.length ? healthy : allServers
    return excluded ? usable.filter(({ replica }) => !excluded.has(replica.id)) : usable
  }

  #refusalFor(request: QueuedRequest): Refusal | undefined {
    if (this.#usableServers(request.excludedReplicas).length === 0)
      return this.#noReplica()
    if (this.#queue.size >= (this.opts.maxWaiting ?? 1_000)) return this.#overloaded()
    if (this.#estimatedWaitMs(request) > this.#remainingWaitMs(request))
      return this.#overloaded()
    return undefined
  }

  /**
   * Refuses queued requests that are now late because newer requests were queued ahead
   * of them.
   */
  #refuseLate(): void {
    for (;;) {
      const lateRequests = this.#queue
        .tails()
        .filter(
          (queued) =>
            this.#estimatedWaitMs(queued) > this.#remainingWaitMs(queued) * LATE_FACTOR,
        )
      if (lateRequests.length === 0) return
      for (const queued of lateRequests) {
        this.#queue.remove(queued)
        this.#refuse(queued, this.#overloaded())
      }
    }
  }

  /** Time that a request can still wait for a slot and be on time; negative if it is late. */
  #remainingWaitMs({ maxFirstTokenMs, arrivedAtMs }: QueuedRequest): number {
    const waitedMs = this.opts.clock() - arrivedAtMs
    return maxFirstTokenMs - waitedMs - this.#times.meanFirstTokenMs
  }

  /**
   * Estimated queueing time; by Little's law, slots free up at the rate slots / mean
   * hold time.
   */
  #estimatedWaitMs(request: QueuedRequest): number {
    const slots = sumOver(this.#servers, ({ window }) => Math.floor(window.limit))
    const msPerSlot = this.#times.meanHoldMs / Math.max(1, slots)
    return (this.#queue.itemsAhead(request) + 1) * msPerSlot
  }

  #refuse(request: QueuedRequest, refusal: Refusal): void {
    this.#admittedShare.add(0)
    this.#queue.recordRefused(request)
    request.refuse(refusal)
  }

  #overloaded(): Refusal {
    const admittedShare = this.#admittedShare.value ?? 1
    const overloadFactor = admittedShare > 0 ? 1 / admittedShare : MAX_OVERLOAD_FACTOR
    const message = 'The backend servers are busy; come back later.'
    return notRun('overloaded', message, retryAfterMs(overloadFactor, this.opts.random))
  }

  #noReplica(): Refusal {
    const message = 'No backend server is live for this.'
    return notRun('no_backend', message, NO_REPLICA_RETRY_MS)
  }
}

const NO_OP = (): void => undefined

function sumOver(
  servers: ReadonlyMap<string, PooledServer>,
  amountOf: (server: PooledServer) => number,
): number {
  let total = 0
  for (const server of servers.values()) total += amountOf(server)
  return total
}
