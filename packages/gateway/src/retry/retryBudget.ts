/**
 * Bounds repeated arrivals at a service to a part of its requests.
 *
 * Answers the load pattern in which many answers fail at once and each node would send
 * everything again: the sum over all nodes stays below the bound because each keeps its
 * own part by itself, without any exchange.
 */
import type { Clock } from '@wagtailway/core'

export interface RepeatBudgetOptions {
  readonly clock: Clock
  /** Repeats allowed for each request in a window. */
  readonly ratio: number
  /** Repeats allowed in a window beside those. */
  readonly slack: () => number
  readonly windowMs: number
}

/** Windows slide over so many steps. */
const STEPS_PER_WINDOW = 10

interface Step {
  readonly index: number
  requests: number
  repeats: number
}

/**
 * Requests and repeats of one service over a sliding window.
 *
 * @example
 * const budget = RepeatBudget.create({ clock, ratio: 0.7, slack: () => 4, windowMs: 10_000 })
 * budget.noteRequest()
 * if (budget.take()) sendAgain()
 */
export class RetryBudget {
  #steps: Step[] = []

  private constructor(private readonly opts: RepeatBudgetOptions) {}

  static create(opts: RepeatBudgetOptions): RetryBudget {
    return new RetryBudget(opts)
  }

  /** Part of the window's budget that is still there, from 0 to 1. */
  get remainingShare(): number {
    const { requests, repeats } = this.#sums()
    const all = requests * this.opts.ratio + this.opts.slack()
    return all <= 0 ? 0 : Math.max(0, 1 - repeats / all)
  }

  noteRequest(): void {
    this.#step().requests += 1
  }

  /** Notes a repeat that takes place whatever is left. */
  note(): void {
    this.#step().repeats += 1
  }

  /** Takes one repeat; false if the window has none left. */
  tryAcquire(): boolean {
    const { requests, repeats } = this.#sums()
    if (repeats + 1 > requests * this.opts.ratio + this.opts.slack()) return false
    this.#step().repeats += 1
    return true
  }

  #sums(): { requests: number; repeats: number } {
    this.#step()
    let requests = 0
    let repeats = 0
    for (const step of this.#steps) {
      requests += step.requests
      repeats += step.repeats
    }
    return { requests, repeats }
  }

  #step(): Step {
    const index = Math.floor((this.opts.clock() * STEPS_PER_WINDOW) / this.opts.windowMs)
    const last = this.#steps.at(-1)
    if (last?.index === index) return last
    this.#steps = this.#steps.filter((step) => step.index > index - STEPS_PER_WINDOW)
    const step = { index, requests: 0, repeats: 0 }
    this.#steps.push(step)
    return step
  }
}
