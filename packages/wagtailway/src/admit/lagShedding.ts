/** Load shedding by event-loop delay: refuses requests early while the process is overloaded. */
import type { Random } from '../random.js'
import { notRun, type Refusal } from '../refusal.js'
import { retryAfterMs } from './retryAfter.js'

export interface LagSheddingOptions {
  readonly random: Random
  /** Current event-loop delay of the process, in milliseconds. */
  readonly lagMs: () => number
  /**
   * Event-loop delay above which some requests are refused, in milliseconds.
   * @default 250
   */
  readonly shedFromMs?: number
  /**
   * Event-loop delay from which all requests are refused, in milliseconds.
   * @default 1_000
   */
  readonly shedAllMs?: number
}

/** Decides on one request; `undefined` admits it. */
export type SheddingPolicy = () => Refusal | undefined

/**
 * Refuses a fraction of the requests that grows linearly with the event-loop delay,
 * so that the load stabilises instead of oscillating.
 *
 * @example
 * const shed = lagShedding({ random, lagMs: () => meter.lagMs })
 * const refusal = shed()
 */
export function lagShedding(opts: LagSheddingOptions): SheddingPolicy {
  const shedFromMs = opts.shedFromMs ?? 250
  const shedAllMs = opts.shedAllMs ?? 1_000
  return () => {
    const refusedShare = (opts.lagMs() - shedFromMs) / (shedAllMs - shedFromMs)
    if (opts.random() >= refusedShare) return undefined
    const message = 'This entry instance is busy; come back later.'
    return notRun('overloaded', message, retryAfterMs(1 + refusedShare, opts.random))
  }
}
