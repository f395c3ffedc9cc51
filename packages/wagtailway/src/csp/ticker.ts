/** Periodic tasks as goroutines that can be stopped. */
import { Channel, select, awaitPromise, spawn } from './channel.js'

export interface TickerOptions {
  /** Delay from the end of one step to the start of the next, in milliseconds. */
  readonly intervalMs: number
  readonly step: () => Promise<void>
  /** Called with the error of a failed step; the ticker continues. */
  readonly onError: (err: unknown) => void
}

/**
 * Runs a step periodically; steps never overlap.
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

  /** Starts the next step without waiting for the rest of the delay. */
  wake(): void {
    this.#wake.offer(true)
  }

  /** Stops the ticker; resolves after the running step, if any, has ended. */
  async close(): Promise<void> {
    this.#stop.close()
    await this.#done
  }

  *#loop(opts: TickerOptions, resolve: () => void): Generator {
    for (;;) {
      const delay = Channel.timeout(opts.intervalMs)
      const { index } = yield* select([this.#stop, this.#wake, delay])
      if (index === 0) break
      const outcome = yield* awaitPromise(opts.step())
      if ('err' in outcome) opts.onError(outcome.err)
    }
    resolve()
  }
}
