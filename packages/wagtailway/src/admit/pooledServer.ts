/** One replica as a pool sees it: its window, its breaker and its last load report. */
import type { Clock } from '../clock.js'
import type { Random } from '../random.js'
import { Breaker } from '../retry/circuitBreaker.js'
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
 * const request = server.start()
 */
export class PooledServer {
  readonly window: AdaptiveWindow
  readonly breaker: Breaker
  readonly #clock: Clock
  #load = 0
  #loadAtMs: number
  #startsSinceReport = 0

  private constructor(
    readonly replica: Replica,
    opts: PooledServerOptions,
  ) {
    this.window = AdaptiveWindow.create(opts.window)
    this.breaker = Breaker.create(opts)
    this.#clock = opts.clock
    this.#loadAtMs = opts.clock()
  }

  static create(replica: Replica, opts: PooledServerOptions): PooledServer {
    return new PooledServer(replica, opts)
  }

  /** What a replica policy is told. */
  view(): ReplicaView {
    return {
      id: this.replica.id,
      zone: this.replica.zone,
      inFlight: this.window.inFlight,
      reportedLoad: this.#load,
      reportAgeMs: this.#clock() - this.#loadAtMs,
      startsSinceReport: this.#startsSinceReport,
    }
  }

  /** Notes the load that the replica reported. */
  report(load: number, ageMs: number): void {
    this.#load = load
    this.#loadAtMs = this.#clock() - ageMs
    this.#startsSinceReport = 0
  }

  /** Notes the start of a request; returns its number in the window. */
  start(): number {
    this.breaker.start()
    this.#startsSinceReport += 1
    return this.window.start()
  }

  /** Notes the end of a request; `ok` is `undefined` if it tells nothing about the replica. */
  finish(ok: boolean | undefined): void {
    this.window.finish()
    this.breaker.finish(ok)
  }
}
