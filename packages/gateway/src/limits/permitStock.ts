/** Permits of one rate-limited backend server that this instance holds or has asked for. */
import type { Clock } from '@wagtailway/core'
import { LOWEST_URGENCY } from '../model/urgency.js'

/** Time within which a permit must be used, in milliseconds. */
const PERMIT_TTL_MS = 1_000

/** Period over which the use of permits is counted, in milliseconds. */
const USE_PERIOD_MS = 1_000

/** Maximum number of permits in one ask. */
const MAX_ASK_COUNT = 128

interface Waiter {
  readonly urgency: number
  readonly resolve: (granted: boolean) => void
}

/**
 * Permits and waiting requests for one server.
 *
 * @example
 * if (!stock.tryTake() && stock.retryAfterMs(urgency) === 0) sendAsk(stock.askCount())
 */
export class PermitStock {
  /** Until when each permit can be used, the earliest first. */
  #expiries: number[] = []
  #waiters: Waiter[] = []
  /** By urgency: until when no ask of it, or of a lower one, has a chance. */
  readonly #retryAtMs: number[] = new Array<number>(LOWEST_URGENCY + 1).fill(0)
  #periodStartMs: number
  #useCount = 0
  #previousUseCount = 0
  /** Whether an ask is on its way. */
  isAsking = false

  private constructor(private readonly clock: Clock) {
    this.#periodStartMs = clock()
  }

  static create(clock: Clock): PermitStock {
    return new PermitStock(clock)
  }

  get hasPermit(): boolean {
    this.#removeExpired()
    return this.#expiries.length > 0
  }

  /** Time after which an ask of this urgency may succeed, in milliseconds. */
  retryAfterMs(urgency: number): number {
    const retryAtMs = Math.max(...this.#retryAtMs.slice(0, urgency + 1))
    return Math.max(0, retryAtMs - this.clock())
  }

  /** Takes a permit; false if there is none. */
  tryTake(): boolean {
    this.#removeExpired()
    if (this.#expiries.shift() === undefined) return false
    this.#countUse()
    return true
  }

  /** Returns a permit that was taken and not used. */
  putBack(): void {
    this.#expiries.push(this.clock() + PERMIT_TTL_MS)
  }

  /** Waits for the answer to the ask on its way; resolves with whether a permit was taken. */
  wait(urgency: number): Promise<boolean> {
    this.#countUse()
    return new Promise((resolve) => {
      this.#waiters.push({ urgency, resolve })
    })
  }

  /** Number of permits to ask for: those for waiting requests and for the next ones. */
  askCount(): number {
    this.#countUse(0)
    const perTtl = (this.#previousUseCount * PERMIT_TTL_MS) / USE_PERIOD_MS
    const count = Math.max(1, this.#waiters.length, Math.floor(perTtl))
    return Math.min(count, MAX_ASK_COUNT)
  }

  /** Urgency of the most urgent waiting request. */
  get urgency(): number {
    return Math.min(...this.#waiters.map(({ urgency }) => urgency))
  }

  /** Adds granted permits; the most urgent waiting requests get them first. */
  add(count: number): void {
    const expiresAtMs = this.clock() + PERMIT_TTL_MS
    // The number comes from another process.
    const added = Math.min(count, MAX_ASK_COUNT)
    for (let i = 0; i < added; i += 1) this.#expiries.push(expiresAtMs)
    this.#waiters.sort((a, b) => a.urgency - b.urgency)
    while (this.#expiries.length > 0 && this.#waiters.length > 0) {
      this.#expiries.shift()
      this.#waiters.shift()?.resolve(true)
    }
  }

  /** Ends the wait of all requests, as the ask got no permit for them. */
  endWait(): void {
    const waiters = this.#waiters
    this.#waiters = []
    for (const { resolve } of waiters) resolve(false)
  }

  /** Records that asks of this urgency, and less urgent ones, have no chance for a while. */
  delayAsks(urgency: number, retryAfterMs: number): void {
    this.#retryAtMs[urgency] = this.clock() + retryAfterMs
  }

  #removeExpired(): void {
    const nowMs = this.clock()
    while ((this.#expiries[0] ?? nowMs) < nowMs) this.#expiries.shift()
  }

  #countUse(count = 1): void {
    const elapsedMs = this.clock() - this.#periodStartMs
    if (elapsedMs >= USE_PERIOD_MS) {
      this.#previousUseCount = elapsedMs < 2 * USE_PERIOD_MS ? this.#useCount : 0
      this.#useCount = 0
      this.#periodStartMs += Math.floor(elapsedMs / USE_PERIOD_MS) * USE_PERIOD_MS
    }
    this.#useCount += count
  }
}
