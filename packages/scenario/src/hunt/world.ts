/**
 * Virtual time for several nodes: timers, frozen and killed nodes, lost and late
 * messages. Everything random comes from one seed, so a schedule runs the same way
 * each time.
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
 * One node of the world. Its clock goes on while it is frozen; its timers and
 * the answers that it waits for don't come through until it is thawed.
 */
export class VirtualNode {
  frozenUntilMs = 0
  isKilled = false

  constructor(
    readonly id: string,
    private readonly world: VirtualWorld,
    /** Speed of the node's clock against the world's. */
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

  /** Ends the node: nothing of it runs again. */
  kill(): void {
    this.isKilled = true
  }
}

/**
 * Runs events in the order of their virtual times.
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

  /** Calls `run` after `ms`, or once its node is thawed; the returned function cancels it. */
  after(ms: number, run: () => void, node?: VirtualNode): () => void {
    const event = this.#insert(this.nowMs + Math.max(0, ms), run, node)
    return () => {
      event.cancelled = true
    }
  }

  /** Lets work go on by itself; what it throws ends the run. */
  spawn(work: Promise<unknown>): void {
    work.catch((err: unknown) => {
      this.#failure ??= { err }
    })
  }

  /**
   * Runs up to a point in time.
   *
   * @param check Called after each event.
   */
  async run(untilMs: number, check: () => void = () => undefined): Promise<void> {
    for (;;) {
      await settled()
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
    const index = this.#events.findLastIndex((other) => other.atMs <= atMs) + 1
    this.#events.splice(index, 0, event)
    return event
  }
}

/** Lets everything run that waits for nothing but other promises. */
function settled(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve)
  })
}
