/** Refuses requests while the process itself can't keep up, before it spends work on them. */
import type { Random } from '../random.js'
import { notRun, type Refusal } from '../refusal.js'
import { retryAfterMs } from './retryAfter.js'

export interface LagSheddingOptions {
  readonly random: Random
  /** Delay of the process's event loop, in milliseconds. */
  readonly lagMs: () => number
  /**
   * Delay from which some requests are refused, in milliseconds.
   * @default 250
   */
  readonly fromMs?: number
  /**
   * Delay from which all are, in milliseconds.
   * @default 1_000
   */
  readonly allMs?: number
}

/** Decides on one request; `undefined` lets it in. */
export type SheddingPolicy = () => Refusal | undefined

/**
 * Refuses a part of the requests that grows with the delay, so that the load
 * settles instead of swinging.
 *
 * @example
 * const shed = lagShedding({ random, lagMs: () => meter.lagMs })
 * const refusal = shed()
 */
export function lagShedding(opts: LagSheddingOptions): SheddingPolicy {
  const fromMs = opts.fromMs ?? 250
  const allMs = opts.allMs ?? 1_000
  return () => {
    const excess = (opts.lagMs() - fromMs) / (allMs - fromMs)
    if (opts.random() >= excess) return undefined
    const message = 'This entry instance is busy; come back later.'
    return notRun('overloaded', message, retryAfterMs(1 + excess, opts.random))
  }
}
