/** Timeout of an exchange whose duration depends on the size of its response. */
import type { StartTimer } from '@wagtailway/core'

/**
 * Longest exchange as a multiple of its silence timeout: a response that arrives in small
 * parts must end too.
 */
const MAX_DURATION_FACTOR = 5

export interface TransferTimeoutOptions {
  readonly startTimer: StartTimer
  /** Time without any data after which the exchange has failed, in milliseconds. */
  readonly silenceMs: number
  /**
   * Additional time until the first data, in milliseconds, for a call that waits.
   * @default 0
   */
  readonly waitMs?: number
  readonly onTimeout: (detail: string) => void
}

/**
 * Expires when no data arrives for a while, so that a large response over a slow link is
 * not cut off while it makes progress.
 *
 * @example
 * const timeout = TransferTimeout.create({ startTimer, silenceMs: 600, onTimeout })
 * res.on('data', () => timeout.recordProgress())
 * res.on('end', () => timeout.cancel())
 */
export class TransferTimeout {
  #cancelSilenceTimer: () => void
  readonly #cancelDurationTimer: () => void

  private constructor(private readonly opts: TransferTimeoutOptions) {
    const { startTimer, silenceMs, waitMs = 0, onTimeout } = opts
    this.#cancelSilenceTimer = this.#startSilenceTimer(silenceMs + waitMs)
    const maxDurationMs = waitMs + silenceMs * MAX_DURATION_FACTOR
    this.#cancelDurationTimer = startTimer(maxDurationMs, () => {
      this.cancel()
      onTimeout(`not complete within ${maxDurationMs} ms`)
    })
  }

  static create(opts: TransferTimeoutOptions): TransferTimeout {
    return new TransferTimeout(opts)
  }

  recordProgress(): void {
    this.#cancelSilenceTimer()
    this.#cancelSilenceTimer = this.#startSilenceTimer(this.opts.silenceMs)
  }

  cancel(): void {
    this.#cancelSilenceTimer()
    this.#cancelDurationTimer()
  }

  #startSilenceTimer(ms: number): () => void {
    return this.opts.startTimer(ms, () => {
      this.cancel()
      this.opts.onTimeout(`no data within ${ms} ms`)
    })
  }
}
