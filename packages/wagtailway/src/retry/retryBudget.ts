/** Limits retries to a fraction of first attempts, so that they can't sustain an overload. */

export interface RetryBudgetOptions {
  /**
   * Number of retries allowed per first attempt.
   * @default 0.1
   */
  readonly ratio?: number
  /**
   * Maximum number of retries that can accumulate.
   * @default 10
   */
  readonly burst?: number
}

/**
 * Token bucket that first attempts fill and retries drain.
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

  /** Records a first attempt. */
  deposit(): void {
    this.#balance = Math.min(this.#burst, this.#balance + this.#ratio)
  }

  /** Takes one retry from the budget; returns false if the budget is exhausted. */
  withdraw(): boolean {
    if (this.#balance < 1) return false
    this.#balance -= 1
    return true
  }
}
