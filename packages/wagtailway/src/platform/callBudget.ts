/**
 * One node's share of the platform's calls, by kind.
 *
 * Each kind has its own bucket, so that one kind can't use up what another
 * needs. While the platform is away calls are held back for longer and longer,
 * with jitter, and when it returns only a trickle tries first.
 */
import type { Clock } from '../clock.js'
import type { Random } from '../random.js'

/** Kinds of calls. */
export const CALL_KINDS = ['get', 'list', 'put', 'watch', 'instances'] as const

export type CallKind = (typeof CALL_KINDS)[number]

/** Calls a second that all nodes together may make; below what the platform gives. */
export const FLEET_CALLS_PER_SECOND: Readonly<Record<CallKind, number>> = {
  get: 900,
  list: 60,
  put: 300,
  watch: 300,
  instances: 200,
}

/** Time whose calls a node may make at once, in seconds. */
const BURST_SECONDS = 5

/** Calls that any node may make at once, however many nodes there are. */
const LEAST_BURST = 3

/** What becomes of a call. */
export type CallVerdict = 'admitted' | 'over_budget' | 'backing_off'

/** Failures in a row after which calls are held back. */
const FAILURES_BEFORE_BACKOFF = 3

const FIRST_BACKOFF_MS = 200
const LONGEST_BACKOFF_MS = 4_000

export interface CallBudgetOptions {
  readonly clock: Clock
  readonly random: Random
  /**
   * Calls a second of all nodes together.
   * @default FLEET_CALLS_PER_SECOND
   */
  readonly fleetCallsPerSecond?: Readonly<Record<CallKind, number>>
}

interface Bucket {
  tokens: number
  filledAtMs: number
}

/**
 * Admits or refuses each call before it is sent.
 *
 * @example
 * const budget = CallBudget.create({ clock, random })
 * if (budget.admit('put') === 'admitted') await send()
 */
export class CallBudget {
  readonly #buckets = new Map<CallKind, Bucket>()
  readonly #failures = new Map<CallKind, number>()
  readonly #notBeforeMs = new Map<CallKind, number>()

  #nodes = 1

  private constructor(private readonly opts: CallBudgetOptions) {}

  static create(opts: CallBudgetOptions): CallBudget {
    return new CallBudget(opts)
  }

  /** Divides the calls of all among so many nodes. */
  setNodeCount(nodes: number): void {
    this.#nodes = Math.max(1, nodes)
  }

  /** Decides on one call and takes its token if it may go. */
  admit(kind: CallKind): CallVerdict {
    const now = this.opts.clock()
    if (now < (this.#notBeforeMs.get(kind) ?? 0)) return 'backing_off'
    const bucket = this.#filled(kind, now)
    if (bucket.tokens < 1) return 'over_budget'
    bucket.tokens -= 1
    return 'admitted'
  }

  /** Notes how a call ended. */
  recordResult(kind: CallKind, ok: boolean): void {
    if (ok) {
      this.#failures.delete(kind)
      this.#notBeforeMs.delete(kind)
      return
    }
    const failures = (this.#failures.get(kind) ?? 0) + 1
    this.#failures.set(kind, failures)
    const doublings = failures - FAILURES_BEFORE_BACKOFF
    if (doublings < 0) return
    const longestMs = Math.min(LONGEST_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** doublings)
    const waitMs = longestMs * (0.5 + this.opts.random() / 2)
    this.#notBeforeMs.set(kind, this.opts.clock() + waitMs)
  }

  #filled(kind: CallKind, now: number): Bucket {
    const fleet = this.opts.fleetCallsPerSecond ?? FLEET_CALLS_PER_SECOND
    const perSecond = fleet[kind] / this.#nodes
    const burst = Math.max(LEAST_BURST, perSecond * BURST_SECONDS)
    const bucket = this.#buckets.get(kind) ?? { tokens: burst, filledAtMs: now }
    const grown = ((now - bucket.filledAtMs) / 1_000) * perSecond
    bucket.tokens = Math.min(burst, bucket.tokens + grown)
    bucket.filledAtMs = now
    this.#buckets.set(kind, bucket)
    return bucket
  }
}
