/**
 * Limits the calls that one node makes to the platform, by kind.
 *
 * Each kind has its own token bucket, so that one kind can't use up the calls that
 * another needs. While calls of a kind fail, they are delayed by an exponential backoff
 * with jitter, so that only a few nodes call first when the platform is available again.
 */
import type { Clock } from '../clock.js'
import type { Random } from '../random.js'

/** Kinds of calls. */
export const CALL_KINDS = ['get', 'list', 'put', 'watch', 'instances'] as const

export type CallKind = (typeof CALL_KINDS)[number]

/** Calls per second that all nodes together may make; below the platform's own limits. */
export const FLEET_CALLS_PER_SECOND: Readonly<Record<CallKind, number>> = {
  get: 900,
  list: 60,
  put: 300,
  watch: 300,
  instances: 200,
}

/** Size of a node's bucket in seconds of its call rate; bounds the calls made at once. */
const BURST_SECONDS = 5

/** Minimum size of a node's bucket in calls, however many nodes share the rate. */
const MIN_BURST_CALLS = 3

/** Whether a call may be sent, or why not. */
export type CallVerdict = 'admitted' | 'over_budget' | 'backing_off'

/** Consecutive failures of one kind after which its calls back off. */
const FAILURES_BEFORE_BACKOFF = 3

const INITIAL_BACKOFF_MS = 200
const MAX_BACKOFF_MS = 4_000

export interface CallBudgetOptions {
  readonly clock: Clock
  readonly random: Random
  /**
   * Calls per second that all nodes together may make.
   * @default FLEET_CALLS_PER_SECOND
   */
  readonly fleetCallsPerSecond?: Readonly<Record<CallKind, number>>
}

interface Bucket {
  tokens: number
  refilledAtMs: number
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

  #nodeCount = 1

  private constructor(private readonly opts: CallBudgetOptions) {}

  static create(opts: CallBudgetOptions): CallBudget {
    return new CallBudget(opts)
  }

  /** Sets the number of nodes that share the fleet's calls equally; may be a fraction. */
  setNodeCount(nodes: number): void {
    this.#nodeCount = Math.max(1, nodes)
  }

  /** Decides whether a call may be sent, and takes a token from the bucket if so. */
  admit(kind: CallKind): CallVerdict {
    const now = this.opts.clock()
    if (now < (this.#notBeforeMs.get(kind) ?? 0)) return 'backing_off'
    const bucket = this.#refilledBucket(kind, now)
    if (bucket.tokens < 1) return 'over_budget'
    bucket.tokens -= 1
    return 'admitted'
  }

  /** Records whether a call succeeded. */
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
    const maxWaitMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** doublings)
    const waitMs = maxWaitMs * (0.5 + this.opts.random() / 2)
    this.#notBeforeMs.set(kind, this.opts.clock() + waitMs)
  }

  #refilledBucket(kind: CallKind, now: number): Bucket {
    const fleetRates = this.opts.fleetCallsPerSecond ?? FLEET_CALLS_PER_SECOND
    const perSecond = fleetRates[kind] / this.#nodeCount
    const burst = Math.max(MIN_BURST_CALLS, perSecond * BURST_SECONDS)
    const bucket = this.#buckets.get(kind) ?? { tokens: burst, refilledAtMs: now }
    const refilledTokens = ((now - bucket.refilledAtMs) / 1_000) * perSecond
    bucket.tokens = Math.min(burst, bucket.tokens + refilledTokens)
    bucket.refilledAtMs = now
    this.#buckets.set(kind, bucket)
    return bucket
  }
}
