/** A replica's state in a pool: concurrency window, circuit breaker and last load report. */
import type { Clock } from '../clock.js'
import type { Random } from '../random.js'
import { CircuitBreaker } from '../retry/circuitBreaker.js'
import type { ReplicaView } from '../route/replicaPolicy.js'
import { AdaptiveWindow, type AdaptiveWindowOptions } from './adaptiveWindow.js'

export interface Replica {
  readonly id: string
  readonly zone: string
}

export interface PooledServerOptions {
  readonly clock: Clock
  readonly random: Random
  readonly window?: AdaptiveWindowOptions | undefined
}

/**
 * A replica of a pool.
 *
 * @example
 * const server = PooledServer.create({ id: 'e1', zone: 'z1' }, { clock, random })
 * const requestNumber = server.start()
 */
export class PooledServer {
  readonly window: AdaptiveWindow
  readonly breaker: CircuitBreaker
  readonly #clock: Clock
  #reportedLoad = 0
  #reportedAtMs: number
  #startsSinceReport = 0

  private constructor(
    readonly replica: Replica,
    opts: PooledServerOptions,
  ) {
    this.window = AdaptiveWindow.create(opts.window)
    this.breaker = CircuitBreaker.create(opts)
    this.#clock = opts.clock
    this.#reportedAtMs = opts.clock()
  }

  static create(replica: Replica, opts: PooledServerOptions): PooledServer {
    return new PooledServer(replica, opts)
  }

  /** State of the replica as input for a replica policy. */
  view(): ReplicaView {
    return {
      id: this.replica.id,
      zone: this.replica.zone,
      inFlight: this.window.inFlight,
      reportedLoad: this.#reportedLoad,
      reportAgeMs: this.#clock() - this.#reportedAtMs,
      startsSinceReport: this.#startsSinceReport,
    }
  }

  /** Records the load that the replica reported `ageMs` milliseconds ago. */
  report(load: number, ageMs: number): void {
    this.#reportedLoad = load
    this.#reportedAtMs = this.#clock() - ageMs
    this.#startsSinceReport = 0
  }

  /** Records the start of a request; returns its sequence number in the window. */
  start(): number {
    this.breaker.start()
    this.#startsSinceReport += 1
    return this.window.start()
  }

  /**
   * Records the end of a request; `ok` is `undefined` if it says nothing about the
   * replica's health.
   */
  finish(ok: boolean | undefined): void {
    this.window.finish()
    this.breaker.finish(ok)
  }
}
