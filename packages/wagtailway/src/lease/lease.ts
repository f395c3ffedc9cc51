/**
 * Leases with fencing numbers over one platform object each.
 *
 * No clock is compared between nodes. A contender takes a lease over only after it
 * has seen the same revision of the object for the whole lease time on its own
 * monotonic clock; a holder counts its time from before it sent its last confirmed
 * write, so its lease ends first. Each new holder gets a higher fencing number.
 */
import type { Clock } from '../clock.js'
import type { ObjectStore } from '../platform/objectStore.js'
import { z } from 'zod'

export const leaseSchema = z.object({
  /** Empty once the lease was given back. */
  holder: z.string(),
  /** Grows with each change of holder. */
  fence: z.number().int(),
  /** Unlike for each attempt to write, so that a lost confirmation can be told apart. */
  attempt: z.number().int(),
})

export type LeaseState = z.infer<typeof leaseSchema>

export interface LeaseOptions {
  readonly store: ObjectStore
  /** Name of the lease's object. */
  readonly name: string
  /** This contender; unique for each run of each node. */
  readonly holder: string
  /**
   * Time for which the lease holds after the last renewal was sent, in milliseconds.
   * The same for all contenders.
   * @default 15_000
   */
  readonly leaseMs?: number
  /**
   * Part of the lease time that the holder doesn't use, for clocks that run at
   * unlike rates.
   * @default 0.1
   */
  readonly margin?: number
  /** Monotonic clock. */
  readonly clock: Clock
}

interface Seen {
  readonly revision: number
  readonly state: LeaseState
  /** When this revision was first seen. */
  readonly sinceMs: number
}

const FREE: LeaseState = { holder: '', fence: 0, attempt: 0 }

/**
 * One contender for a lease. Call {@link Lease.poll} every few seconds and
 * {@link Lease.fence} right before each act.
 *
 * @example
 * const lease = Lease.create({ store, name: 'rollout-summariser', holder: 'n1-17', clock })
 * await lease.poll()
 * if (lease.fence !== undefined) act(lease.fence)
 */
export class Lease {
  #seen: Seen | undefined
  #heldUntilMs = Number.NEGATIVE_INFINITY
  #heldFence: number | undefined
  #attempts = 0

  private constructor(private readonly opts: Required<LeaseOptions>) {}

  static create(opts: LeaseOptions): Lease {
    return new Lease({ leaseMs: 15_000, margin: 0.1, ...opts })
  }

  /** The fencing number while the lease is held at this very moment, else `undefined`. */
  get fence(): number | undefined {
    return this.opts.clock() < this.#heldUntilMs ? this.#heldFence : undefined
  }

  /** Time left, in milliseconds; an act must end within it. */
  get leftMs(): number {
    return Math.max(0, this.#heldUntilMs - this.opts.clock())
  }

  /** Renews the lease, or takes it if it is free or its holder has been silent. */
  async poll(): Promise<number | undefined> {
    const isHeld = this.fence !== undefined
    // A holder knows the object; a contender looks at it first.
    const seen = isHeld && this.#seen ? this.#seen : await this.#look()
    if (seen && this.#mayTake(seen)) await this.#write(seen, this.#nextState(seen))
    return this.fence
  }

  /** Gives the lease back, so that another contender need not wait. */
  async release(): Promise<void> {
    const seen = this.#seen
    const isHeld = this.fence !== undefined
    this.#lose()
    if (!seen || !isHeld) return
    const { store, name } = this.opts
    const state = { ...seen.state, holder: '' }
    await store.put('lease', name, state, seen.revision)
  }

  #mayTake({ state, sinceMs }: Seen): boolean {
    if (state.holder === '' || this.fence !== undefined) return true
    return this.opts.clock() - sinceMs >= this.opts.leaseMs
  }

  #nextState({ state }: Seen): LeaseState {
    const { holder } = this.opts
    const fence = this.fence ?? state.fence + 1
    this.#attempts += 1
    return { holder, fence, attempt: this.#attempts }
  }

  async #write(seen: Seen, state: LeaseState): Promise<void> {
    const { store, name, clock, leaseMs, margin } = this.opts
    const untilMs = clock() + leaseMs * (1 - margin)
    const written = await store.put('lease', name, state, seen.revision)
    if (written.ok) {
      const { revision } = written.val
      this.#seen = { revision, state, sinceMs: clock() }
      this.#hold(state, untilMs)
      return
    }
    // A lost confirmation may hide a write that took effect, this one or one before.
    const read = await this.#look()
    if (!read) return
    const { holder, fence, attempt } = read.state
    const isOwn = holder === state.holder && fence === state.fence
    if (!isOwn) this.#lose()
    // An earlier attempt of the same holder was sent earlier and proves less.
    else if (attempt === state.attempt) this.#hold(state, untilMs)
  }

  #hold({ fence }: LeaseState, untilMs: number): void {
    this.#heldUntilMs = untilMs
    this.#heldFence = fence
  }

  #lose(): void {
    this.#heldUntilMs = Number.NEGATIVE_INFINITY
    this.#heldFence = undefined
  }

  async #look(): Promise<Seen | undefined> {
    const read = await this.opts.store.get('lease', this.opts.name)
    if (read.err) return undefined
    const revision = read.val?.revision ?? 0
    if (this.#seen?.revision === revision) return this.#seen
    const state = read.val ? leaseSchema.parse(read.val.value) : FREE
    this.#seen = { revision, state, sinceMs: this.opts.clock() }
    return this.#seen
  }
}
