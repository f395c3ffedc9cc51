/** Periodic work as a goroutine with an explicit end. */
import { Channel, select, settle, spawn } from './channel.js'

export interface TickerOptions {
  /** Pause between the end of one step and the start of the next, in milliseconds. */
  readonly intervalMs: number
  readonly step: () => Promise<void>
  /** Receives what a step throws; the ticker goes on. */
  readonly onError: (err: unknown) => void
}

/**
 * Runs a step again and again; steps never overlap.
 *
 * @example
 * const ticker = Ticker.create({ intervalMs: 1_000, step: poll, onError: log })
 * await ticker.close()
 */
export class Ticker {
  readonly #stop = Channel.create<true>(1)
  readonly #wake = Channel.create<true>(1)
  readonly #done: Promise<void>

  private constructor(opts: TickerOptions) {
    this.#done = new Promise((resolve) => {
      const loop = (): Generator => this.#loop(opts, resolve)
      spawn(loop, opts.onError)
    })
  }

  static create(opts: TickerOptions): Ticker {
    return new Ticker(opts)
  }

  /** Starts the next step without waiting for the rest of the pause. */
  wake(): void {
    this.#wake.offer(true)
  }

  /** Ends after the running step, if any. */
  async close(): Promise<void> {
    this.#stop.close()
    await this.#done
  }

  *#loop(opts: TickerOptions, resolve: () => void): Generator {
    for (;;) {
      const pause = Channel.timeout(opts.intervalMs)
      const { index } = yield* select([this.#stop, this.#wake, pause])
      if (index === 0) break
      const outcome = yield* settle(opts.step())
      if ('err' in outcome) opts.onError(outcome.err)
    }
    resolve()
  }
}
