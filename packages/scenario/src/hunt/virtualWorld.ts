/**
 * Discrete-event simulation of several nodes in virtual time, with timers and with
 * nodes that are frozen or killed. All random numbers come from one seed, so that a
 * schedule is reproducible.
 */
import { seededRandom, type Clock, type Random, type StartTimer } from '@wagtailway/core'

interface Event {
  readonly atMs: number
  readonly order: number
  readonly node: VirtualNode | undefined
  readonly run: () => void
  cancelled: boolean
}

/**
 * A simulated node. Its clock advances while it is frozen, but its timers and the
 * responses sent to it are deferred until the freeze ends.
 */
export class VirtualNode {
  frozenUntilMs = 0
  isKilled = false

  constructor(
    readonly id: string,
    private readonly world: VirtualWorld,
    /** Speed of the node's clock relative to the simulation's clock. */
    private readonly rate = 1,
  ) {}

  readonly clock: Clock = () => this.world.nowMs * this.rate

  readonly startTimer: StartTimer = (ms, fn) => this.world.after(ms / this.rate, fn, this)

  freeze(ms: number): void {
    this.frozenUntilMs = Math.max(this.frozenUntilMs, this.world.nowMs + ms)
  }

  get isFrozen(): boolean {
    return this.world.nowMs < this.frozenUntilMs
  }

  /** Stops the node for good: none of its events run any more. */
  kill(): void {
    this.isKilled = true
  }
}

/**
 * An event loop that runs events in the order of their virtual times.
 *
 * @example
 * const world = VirtualWorld.create(42)
 * world.after(1_000, () => node.freeze(5_000))
 * await world.run(60_000)
 */
export class VirtualWorld {
  nowMs = 0
  #order = 0
  readonly #events: Event[] = []
  #failure: { readonly err: unknown } | undefined

  private constructor(readonly random: Random) {}

  static create(seed: number): VirtualWorld {
    return new VirtualWorld(seededRandom(seed))
  }

  /**
   * Calls `run` after `ms` milliseconds, or when the freeze of its node ends if that is
   * later; the returned function cancels the event.
   */
  after(ms: number, run: () => void, node?: VirtualNode): () => void {
    const event = this.#insert(this.nowMs + Math.max(0, ms), run, node)
    return () => {
      event.cancelled = true
    }
  }

  /** Lets a promise run in the background; a rejection makes `run` throw. */
  spawn(work: Promise<unknown>): void {
    work.catch((err: unknown) => {
      this.#failure ??= { err }
    })
  }

  /**
   * Runs all events up to `untilMs`.
   *
   * @param check Called before the first event and after each event.
   */
  async run(untilMs: number, check: () => void = () => undefined): Promise<void> {
    for (;;) {
      await flushPromises()
      check()
      if (this.#failure) throw this.#failure.err
      const event = this.#events[0]
      if (!event || event.atMs > untilMs) break
      this.#events.shift()
      this.nowMs = event.atMs
      this.#fire(event)
    }
    this.nowMs = untilMs
  }

  #fire({ cancelled, node, run }: Event): void {
    if (cancelled || node?.isKilled) return
    if (node?.isFrozen) this.#insert(node.frozenUntilMs, run, node)
    else run()
  }

  #insert(atMs: number, run: () => void, node: VirtualNode | undefined): Event {
    this.#order += 1
    const event = { atMs, order: this.#order, node, run, cancelled: false }
    this.#events.splice(this.#indexAfter(atMs), 0, event)
    return event
  }

  /** Index after the last event at or before a time; a fleet of hundreds has many events. */
  #indexAfter(atMs: number): number {
    let from = 0
    let until = this.#events.length
    while (from < until) {
      const middle = (from + until) >>> 1
      if ((this.#events[middle]?.atMs ?? Infinity) <= atMs) from = middle + 1
      else until = middle
    }
    return from
  }
}

/** Waits until all pending promise callbacks have run. */
function flushPromises(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve)
  })
}
