/**
 * Leases with fencing tokens, each stored in one platform object.
 *
 * Clocks of different nodes are never compared. A contender takes over a lease only after
 * it has seen the same revision of the object for the whole lease time on its own
 * monotonic clock. The holder counts the lease time from before it sent its last
 * confirmed write, so its lease expires first. Each new holder gets a higher token.
 */
import type { Clock } from '../clock.js'
import type { ObjectStore } from '../platform/objectStore.js'
import * as z from 'zod'

export const leaseSchema = z.object({
  /** Empty after the lease was released. */
  holder: z.string(),
  /** Fencing token; incremented with each change of holder. */
  fence: z.number().int(),
  /**
   * Different for each write attempt of a holder, so that it can tell which of its writes
   * took effect when a confirmation is lost.
   */
  attempt: z.number().int(),
})

export type LeaseState = z.infer<typeof leaseSchema>

export interface LeaseOptions {
  readonly store: ObjectStore
  /** Name of the lease's object. */
  readonly name: string
  /** Name of this contender; unique for each run of each node. */
  readonly holder: string
  /**
   * Time after which the lease expires if it isn't renewed, in milliseconds; must be the
   * same for all contenders.
   * @default 15_000
   */
  readonly leaseMs?: number
  /**
   * Fraction of the lease time that the holder doesn't use, to allow for clocks that run
   * at different rates.
   * @default 0.1
   */
  readonly margin?: number
  /** Monotonic clock. */
  readonly clock: Clock
}

interface ObservedLease {
  readonly revision: number
  readonly state: LeaseState
  /** Time when this node first read this revision. */
  readonly firstReadAtMs: number
}

const FREE_LEASE: LeaseState = { holder: '', fence: 0, attempt: 0 }

/**
 * One contender for a lease. Call {@link Lease.poll} every few seconds and
 * {@link Lease.fence} right before each action.
 *
 * @example
 * const lease = Lease.create({ store, name: 'rollout-summariser', holder: 'n1-17', clock })
 * await lease.poll()
 * if (lease.fence !== undefined) act(lease.fence)
 */
export class Lease {
  #observed: ObservedLease | undefined
  #heldUntilMs = Number.NEGATIVE_INFINITY
  #heldFence: number | undefined
  #attempts = 0

  private constructor(private readonly opts: Required<LeaseOptions>) {}

  static create(opts: LeaseOptions): Lease {
    return new Lease({ leaseMs: 15_000, margin: 0.1, ...opts })
  }

  /** The fencing token if the lease is held at this moment, else `undefined`. */
  get fence(): number | undefined {
    return this.opts.clock() < this.#heldUntilMs ? this.#heldFence : undefined
  }

  /** Time until the lease expires, in milliseconds; an action must complete within it. */
  get remainingMs(): number {
    return Math.max(0, this.#heldUntilMs - this.opts.clock())
  }

  /**
   * Renews the lease, or acquires it if it is free or its holder stopped renewing it;
   * returns the fencing token if the lease is then held.
   */
  async poll(): Promise<number | undefined> {
    const isHeld = this.fence !== undefined
    // A holder knows the object's state; a contender must read it first.
    const seen = isHeld && this.#observed ? this.#observed : await this.#read()
    if (seen && this.#canAcquire(seen)) await this.#write(seen, this.#nextState(seen))
    return this.fence
  }

  /** Releases the lease, so that another contender need not wait for its expiry. */
  async release(): Promise<void> {
    const observed = this.#observed
    const isHeld = this.fence !== undefined
    this.#clearHeld()
    if (!observed || !isHeld) return
    const { store, name } = this.opts
    const state = { ...observed.state, holder: '' }
    await store.put('lease', name, state, observed.revision)
  }

  #canAcquire({ state, firstReadAtMs }: ObservedLease): boolean {
    if (state.holder === '' || this.fence !== undefined) return true
    return this.opts.clock() - firstReadAtMs >= this.opts.leaseMs
  }

  #nextState({ state }: ObservedLease): LeaseState {
    const { holder } = this.opts
    const fence = this.fence ?? state.fence + 1
    this.#attempts += 1
    return { holder, fence, attempt: this.#attempts }
  }

  async #write(observed: ObservedLease, state: LeaseState): Promise<void> {
    const { store, name, clock, leaseMs, margin } = this.opts
    const heldUntilMs = clock() + leaseMs * (1 - margin)
    const written = await store.put('lease', name, state, observed.revision)
    if (written.ok) {
      const { revision } = written.val
      this.#observed = { revision, state, firstReadAtMs: clock() }
      this.#setHeld(state, heldUntilMs)
      return
    }
    // This write or an earlier one may have taken effect, although the confirmation was lost.
    const read = await this.#read()
    if (!read) return
    const { holder, fence, attempt } = read.state
    const isOwn = holder === state.holder && fence === state.fence
    if (!isOwn) this.#clearHeld()
    // If an earlier attempt took effect, the lease doesn't extend to `heldUntilMs`, because
    // that write was sent earlier.
    else if (attempt === state.attempt) this.#setHeld(state, heldUntilMs)
  }

  #setHeld({ fence }: LeaseState, heldUntilMs: number): void {
    this.#heldUntilMs = heldUntilMs
    this.#heldFence = fence
  }

  #clearHeld(): void {
    this.#heldUntilMs = Number.NEGATIVE_INFINITY
    this.#heldFence = undefined
  }

  async #read(): Promise<ObservedLease | undefined> {
    const read = await this.opts.store.get('lease', this.opts.name)
    if (read.err) return undefined
    const revision = read.val?.revision ?? 0
    if (this.#observed?.revision === revision) return this.#observed
    const state = read.val ? leaseSchema.parse(read.val.value) : FREE_LEASE
    this.#observed = { revision, state, firstReadAtMs: this.opts.clock() }
    return this.#observed
  }
}
