/** Throws errors from callbacks, by an order and a seed. */
import { createHash } from 'node:crypto'
import { seededRandom, type Random } from '@wagtailway/core'
import type { ThrowMoment, ThrowOrder } from './throwOrder.js'

export type Callback = (this: unknown, ...args: unknown[]) => unknown

/** An error that stands for one that nobody foresaw. */
export class ThrownFault extends Error {}

/** One throw, as it is recorded. */
export interface Thrown {
  readonly sequence: number
  readonly place: string
  readonly when: ThrowMoment
  readonly call: number
}

export interface CallbackThrowerOptions {
  /** Monotonic time, in milliseconds. */
  readonly clock: () => number
  /** Called before each throw. */
  readonly onThrow: (thrown: Thrown) => void
}

/** What is planned for one place. */
interface PlacePlan {
  readonly random: Random
  call: number
  nextCall: number
}

/**
 * Wraps callbacks so that some calls throw. When a place throws depends on the seed, its name
 * and the number of its calls only.
 *
 * @example
 * const thrower = CallbackThrower.create({ clock, onThrow })
 * setTimeout(thrower.wrap('a.js:7 setTimeout', callback), 10)
 * thrower.follow({ mode: 'seeded', seed: 1, every: 100, pauseMs: 0 })
 */
export class CallbackThrower {
  #order: ThrowOrder = { mode: 'idle' }
  #calls = new Map<string, number>()
  readonly #plans = new Map<string, PlacePlan>()
  readonly #wrapped = new WeakSet<Callback>()
  #sequence = 0
  #lastThrowMs = Number.NEGATIVE_INFINITY
  #running: string | undefined

  private constructor(private readonly opts: CallbackThrowerOptions) {}

  static create(opts: CallbackThrowerOptions): CallbackThrower {
    return new CallbackThrower(opts)
  }

  /** Place of the callback that is running. */
  get running(): string | undefined {
    return this.#running
  }

  /** Follows an order from now on; counts of calls begin anew. */
  follow(order: ThrowOrder): void {
    this.#order = order
    this.#plans.clear()
  }

  /** Returns the calls of each place since the last time; 0 if it was registered only. */
  takeCalls(): ReadonlyMap<string, number> {
    const calls = this.#calls
    this.#calls = new Map()
    return calls
  }

  /** Whether the function came from here. */
  isWrapped(callback: unknown): boolean {
    return this.#wrapped.has(callback as Callback)
  }

  /** Returns a function that calls the callback in the same way, and may throw. */
  wrap(place: string, callback: Callback): Callback {
    // eslint-disable-next-line @typescript-eslint/no-this-alias -- `this` is the callback's
    const thrower = this
    this.#count(place, 0)
    const wrapped: Callback = function (...args) {
      return thrower.run(place, () => Reflect.apply(callback, this, args))
    }
    return this.pass(wrapped)
  }

  /** Marks a function that calls a wrapped one, so that it is not wrapped once more. */
  pass(callback: Callback): Callback {
    this.#wrapped.add(callback)
    return callback
  }

  /** Calls a function as the callback of a place. */
  run<T>(place: string, callback: () => T): T {
    this.#count(place, 1)
    const thrown = this.#decide(place)
    const outer = this.#running
    this.#running = place
    try {
      if (thrown?.when === 'before') throw this.#record(thrown)
      const result = callback()
      if (thrown) throw this.#record(thrown)
      return result
    } finally {
      this.#running = outer
    }
  }

  #count(place: string, calls: number): void {
    this.#calls.set(place, (this.#calls.get(place) ?? 0) + calls)
  }

  #decide(place: string): Omit<Thrown, 'sequence'> | undefined {
    const order = this.#order
    if (order.mode === 'idle') return undefined
    if (order.mode === 'place' && order.place !== place) return undefined
    const plan = this.#plans.get(place) ?? this.#plan(place, order)
    plan.call += 1
    if (plan.call < plan.nextCall) return undefined
    const { call } = plan
    if (order.mode === 'place') {
      plan.nextCall = Number.POSITIVE_INFINITY
      return { place, call, when: order.when }
    }
    const nowMs = this.opts.clock()
    if (nowMs < this.#lastThrowMs + order.pauseMs) return undefined
    this.#lastThrowMs = nowMs
    plan.nextCall = call + gap(plan.random, order.every)
    return { place, call, when: plan.random() < 0.5 ? 'before' : 'after' }
  }

  #plan(place: string, order: Exclude<ThrowOrder, { mode: 'idle' }>): PlacePlan {
    const seed = order.mode === 'seeded' ? order.seed : 0
    const random = seededRandom(placeSeed(seed, place))
    const nextCall = order.mode === 'seeded' ? gap(random, order.every) : order.call
    const plan = { random, call: 0, nextCall }
    this.#plans.set(place, plan)
    return plan
  }

  #record(thrown: Omit<Thrown, 'sequence'>): ThrownFault {
    this.#sequence += 1
    this.opts.onThrow({ sequence: this.#sequence, ...thrown })
    return new ThrownFault(`thrown ${thrown.when} the callback of ${thrown.place}`)
  }
}

/** Calls until the next throw; `every` on average. */
function gap(random: Random, every: number): number {
  return 1 + Math.floor(random() * (2 * every - 1))
}

function placeSeed(seed: number, place: string): number {
  return createHash('sha256').update(`${seed} ${place}`).digest().readInt32BE()
}
