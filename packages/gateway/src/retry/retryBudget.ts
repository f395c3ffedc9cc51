/**
 * Limits the retries to a service to a ratio of its requests.
 *
 * Prevents retry storms, in which many requests fail at once and every node retries all of
 * them. Each node enforces its own part of the limit without coordination, so the total
 * over all nodes stays below the limit.
 */
import type { Clock } from '@wagtailway/core'

export interface RetryBudgetOptions {
  readonly clock: Clock
  /** Retries allowed per request in a window. */
  readonly ratio: number
  /** Retries allowed in a window in addition to the ratio. */
  readonly slack: () => number
  readonly windowMs: number
}

/** Number of steps into which the sliding window is divided. */
const STEPS_PER_WINDOW = 10

interface Step {
  readonly index: number
  requests: number
  retries: number
}

/**
 * Retry budget of one service, from its requests and retries in a sliding window. An
 * escalation to a larger model counts as a retry.
 *
 * @example
 * const budget = RetryBudget.create({ clock, ratio: 0.7, slack: () => 4, windowMs: 10_000 })
 * budget.recordRequest()
 * if (budget.tryAcquire()) retry()
 */
export class RetryBudget {
  #steps: Step[] = []

  private constructor(private readonly opts: RetryBudgetOptions) {}

  static create(opts: RetryBudgetOptions): RetryBudget {
    return new RetryBudget(opts)
  }

  /** Remaining fraction of the window's budget, from 0 to 1. */
  get remainingFraction(): number {
    const { requests, retries } = this.#totals()
    const allowed = requests * this.opts.ratio + this.opts.slack()
    return allowed <= 0 ? 0 : Math.max(0, 1 - retries / allowed)
  }

  recordRequest(): void {
    this.#step().requests += 1
  }

  /** Records a retry that is made even if the budget is exhausted. */
  recordRetry(): void {
    this.#step().retries += 1
  }

  /** Takes one retry from the budget; false if the budget is exhausted. */
  tryAcquire(): boolean {
    const { requests, retries } = this.#totals()
    if (retries + 1 > requests * this.opts.ratio + this.opts.slack()) return false
    this.#step().retries += 1
    return true
  }

  #totals(): { requests: number; retries: number } {
    this.#step()
    let requests = 0
    let retries = 0
    for (const step of this.#steps) {
      requests += step.requests
      retries += step.retries
    }
    return { requests, retries }
  }

  #step(): Step {
    const index = Math.floor((this.opts.clock() * STEPS_PER_WINDOW) / this.opts.windowMs)
    const last = this.#steps.at(-1)
    if (last?.index === index) return last
    this.#steps = this.#steps.filter((step) => step.index > index - STEPS_PER_WINDOW)
    const step = { index, requests: 0, retries: 0 }
    this.#steps.push(step)
    return step
  }
}
