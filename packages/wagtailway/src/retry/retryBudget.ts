/** Bounds retries to a fraction of first attempts, so that they can't keep an overload alive. */

export interface RetryBudgetOptions {
  /**
   * Retries allowed for each first attempt.
   * @default 0.1
   */
  readonly ratio?: number
  /**
   * Retries that can be saved up.
   * @default 10
   */
  readonly burst?: number
}

/**
 * A budget filled by first attempts and spent by retries.
 *
 * @example
 * const budget = RetryBudget.create({ ratio: 0.1 })
 * budget.deposit()
 * if (budget.withdraw()) retry()
 */
export class RetryBudget {
  readonly #ratio: number
  readonly #burst: number
  #balance: number

  private constructor(opts: RetryBudgetOptions) {
    this.#ratio = opts.ratio ?? 0.1
    this.#burst = opts.burst ?? 10
    this.#balance = this.#burst
  }

  static create(opts: RetryBudgetOptions = {}): RetryBudget {
    return new RetryBudget(opts)
  }

  /** Notes a first attempt. */
  deposit(): void {
    this.#balance = Math.min(this.#burst, this.#balance + this.#ratio)
  }

  /** Takes one retry out of the budget; false if it is spent. */
  withdraw(): boolean {
    if (this.#balance < 1) return false
    this.#balance -= 1
    return true
  }
}
