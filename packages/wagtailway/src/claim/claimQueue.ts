/** Claims that wait for the next write of their range, each with a deadline. */
import { Channel } from '../csp/channel.js'
import type { StartTimer } from '../csp/timers.js'
import type { ClaimEvent, ClaimRequest, ClaimVerdict } from './claimTable.js'

/** Maximum number of claims that wait for one range. */
const MAX_WAITING_CLAIMS = 512

export const UNAVAILABLE: ClaimVerdict = { type: 'unavailable' }

/** A claim that waits; only the first call of `decide` has an effect. */
export interface PendingClaim {
  readonly request: ClaimRequest
  readonly decide: (verdict: ClaimVerdict) => void
  isDecided: boolean
}

export interface ClaimQueueOptions {
  readonly startTimer: StartTimer
  readonly onEvent: (event: ClaimEvent) => void
}

/**
 * A bounded queue of claims.
 *
 * @example
 * const verdict = queue.add(request, 2_000)
 * for (const pending of queue.drain()) pending.decide({ type: 'granted' })
 */
export class ClaimQueue {
  readonly #waiting = Channel.create<PendingClaim>(MAX_WAITING_CLAIMS)
  #size = 0

  private constructor(private readonly opts: ClaimQueueOptions) {}

  static create(opts: ClaimQueueOptions): ClaimQueue {
    return new ClaimQueue(opts)
  }

  get isEmpty(): boolean {
    return this.#size === 0
  }

  /**
   * Adds a claim; the verdict is unavailable after `timeoutMs` or if the queue is full.
   */
  add(request: ClaimRequest, timeoutMs: number): Promise<ClaimVerdict> {
    return new Promise((resolve) => {
      const cancel = this.opts.startTimer(timeoutMs, () => {
        this.opts.onEvent('late')
        pending.decide(UNAVAILABLE)
      })
      const pending: PendingClaim = {
        request,
        isDecided: false,
        decide: (verdict) => {
          pending.isDecided = true
          cancel()
          resolve(verdict)
        },
      }
      if (this.#waiting.offer(pending)) {
        this.#size += 1
      } else {
        this.opts.onEvent('full')
        pending.decide(UNAVAILABLE)
      }
    })
  }

  /** Removes and returns all waiting claims. */
  drain(): PendingClaim[] {
    const group: PendingClaim[] = []
    for (let next = this.#waiting.poll(); next; next = this.#waiting.poll()) {
      group.push(next)
    }
    this.#size = 0
    return group
  }

  close(): void {
    for (const { decide } of this.drain()) decide(UNAVAILABLE)
    this.#waiting.close()
  }
}
