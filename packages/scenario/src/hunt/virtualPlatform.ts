/** The platform's object store in virtual time, with lost calls, delays and outages. */
import {
  Err,
  MemoryStore,
  type ObjectKind,
  type ObjectStore,
  type Result,
  type Unavailable,
} from '@wagtailway/core'
import type { VirtualNode, VirtualWorld } from './virtualWorld.js'

export interface PlatformFaultRates {
  /** Fraction of the calls that never arrive. */
  readonly lost: number
  /** Fraction of the calls whose response never arrives. */
  readonly unconfirmed: number
  /** Fraction of the calls that arrive late, possibly after the node's timeout. */
  readonly late: number
}

/** Timeout of a node's call to the platform, in milliseconds. */
const CALL_TIMEOUT_MS = 2_000

const MAX_DELAY_MS = 5
const MAX_LATE_MS = 4_000

const TIMED_OUT: Unavailable = { type: 'unavailable', message: 'timed out' }

/** Wraps a store with a deliberate defect, to show that the models detect it. */
export type StoreDefect = (store: ObjectStore) => ObjectStore

/**
 * A platform that nodes call over an unreliable network.
 *
 * @example
 * const platform = VirtualPlatform.create(world, { lost: 0.1, unconfirmed: 0.1, late: 0.1 })
 * const store = platform.storeOf(node)
 */
export class VirtualPlatform {
  /** The stored objects, which checks read without faults. */
  readonly memory = MemoryStore.create()
  #isUnavailable = false
  rates: PlatformFaultRates
  readonly #store: ObjectStore

  private constructor(
    private readonly world: VirtualWorld,
    rates: PlatformFaultRates,
    storeDefect: StoreDefect,
  ) {
    this.rates = rates
    this.#store = storeDefect(this.memory)
  }

  static create(
    world: VirtualWorld,
    rates: PlatformFaultRates,
    storeDefect: StoreDefect = (store) => store,
  ): VirtualPlatform {
    return new VirtualPlatform(world, rates, storeDefect)
  }

  /** Drops calls that arrive within `ms` milliseconds; their callers time out. */
  startOutage(ms: number): void {
    this.#isUnavailable = true
    this.world.after(ms, () => {
      this.#isUnavailable = false
    })
  }

  /** Ends an outage and stops losing and delaying calls. */
  stopFaults(): void {
    this.#isUnavailable = false
    this.rates = { lost: 0, unconfirmed: 0, late: 0 }
  }

  /** The store as a node calls it, with faults. */
  storeOf(node: VirtualNode): ObjectStore {
    const store = this.#store
    return {
      get: (kind, name) => this.#call(node, () => store.get(kind, name)),
      list: (kind, prefix) => this.#call(node, () => store.list(kind, prefix)),
      put: (kind, name, value, ifRevision) => {
        // Copied now, so that later changes at the node don't change what was sent.
        const sentValue: unknown = JSON.parse(JSON.stringify(value))
        return this.#call(node, () => store.put(kind, name, sentValue, ifRevision))
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
        if (this.#isUnavailable) return
        void apply().then((result) => {
          if (!isConfirmed) return
          const respond = (): void => {
            cancel()
            resolve(result)
          }
          world.after(world.random() * MAX_DELAY_MS, respond, node)
        })
      })
    })
  }
}

/** A store that doesn't compare revisions on writes; every model must detect this. */
export const ignoreRevisions: StoreDefect = (store) => ({
  get: (kind, name) => store.get(kind, name),
  list: (kind, prefix) => store.list(kind, prefix),
  watch: (kind, after, waitMs) => store.watch(kind, after, waitMs),
  put: async (kind: ObjectKind, name, value) => {
    const current = await store.get(kind, name)
    const revision = current.ok ? (current.val?.revision ?? 0) : 0
    return store.put(kind, name, value, revision)
  },
})
