/** The platform's object store in virtual time, with losses, delays and outages. */
import {
  Err,
  MemoryStore,
  type ObjectKind,
  type ObjectStore,
  type Result,
  type Unavailable,
} from '@wagtailway/core'
import type { VirtualNode, VirtualWorld } from './world.js'

export interface PlatformFaultRates {
  /** Part of the calls that never arrive. */
  readonly lost: number
  /** Part of the calls whose answer never arrives. */
  readonly unconfirmed: number
  /** Part of the calls that arrive late, maybe after their caller has given up. */
  readonly late: number
}

/** Deadline of a call at the node, in milliseconds. */
const CALL_TIMEOUT_MS = 2_000

const MAX_DELAY_MS = 5
const MAX_LATE_MS = 4_000

const TIMED_OUT: Unavailable = { type: 'unavailable', message: 'timed out' }

/** Breaks the platform on purpose, to show that a model notices. */
export type Sabotage = (store: ObjectStore) => ObjectStore

/**
 * A platform that nodes reach over a bad network.
 *
 * @example
 * const platform = VirtualPlatform.create(world, { lost: 0.1, unconfirmed: 0.1, late: 0.1 })
 * const store = platform.storeOf(node)
 */
export class VirtualPlatform {
  /** The objects, for checks. */
  readonly memory = MemoryStore.create()
  #isAway = false
  rates: PlatformFaultRates
  readonly #store: ObjectStore

  private constructor(
    private readonly world: VirtualWorld,
    rates: PlatformFaultRates,
    sabotage: Sabotage,
  ) {
    this.rates = rates
    this.#store = sabotage(this.memory)
  }

  static create(
    world: VirtualWorld,
    rates: PlatformFaultRates,
    sabotage: Sabotage = (store) => store,
  ): VirtualPlatform {
    return new VirtualPlatform(world, rates, sabotage)
  }

  /** Answers nothing for `ms` milliseconds. */
  goAway(ms: number): void {
    this.#isAway = true
    this.world.after(ms, () => {
      this.#isAway = false
    })
  }

  /** Ends every fault. */
  heal(): void {
    this.#isAway = false
    this.rates = { lost: 0, unconfirmed: 0, late: 0 }
  }

  /** The store as one node sees it. */
  storeOf(node: VirtualNode): ObjectStore {
    const store = this.#store
    return {
      get: (kind, name) => this.#call(node, () => store.get(kind, name)),
      list: (kind, prefix) => this.#call(node, () => store.list(kind, prefix)),
      put: (kind, name, value, ifRevision) => {
        // The value leaves the node now, whatever is done to it there later.
        const sent: unknown = JSON.parse(JSON.stringify(value))
        return this.#call(node, () => store.put(kind, name, sent, ifRevision))
      },
      watch: (kind, after) => this.#call(node, () => store.watch(kind, after, 0)),
    }
  }

  #call<T, E>(
    node: VirtualNode,
    apply: () => Promise<Result<T, E>>,
  ): Promise<Result<T, E | Unavailable>> {
    const { world, rates } = this
    return new Promise((resolve) => {
      const cancel = node.startTimer(CALL_TIMEOUT_MS, () => {
        resolve(Err(TIMED_OUT))
      })
      if (world.random() < rates.lost) return
      const isLate = world.random() < rates.late
      const isConfirmed = world.random() >= rates.unconfirmed
      world.after(world.random() * (isLate ? MAX_LATE_MS : MAX_DELAY_MS), () => {
        if (this.#isAway) return
        void apply().then((result) => {
          if (!isConfirmed) return
          const answer = (): void => {
            cancel()
            resolve(result)
          }
          world.after(world.random() * MAX_DELAY_MS, answer, node)
        })
      })
    })
  }
}

/** A store that forgets to compare revisions; every model must notice it. */
export const ignoreRevisions: Sabotage = (store) => ({
  get: (kind, name) => store.get(kind, name),
  list: (kind, prefix) => store.list(kind, prefix),
  watch: (kind, after, waitMs) => store.watch(kind, after, waitMs),
  put: async (kind: ObjectKind, name, value) => {
    const read = await store.get(kind, name)
    const revision = read.ok ? (read.val?.revision ?? 0) : 0
    return store.put(kind, name, value, revision)
  },
})
