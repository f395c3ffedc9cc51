/** The platform's store in virtual time, with one kind of object and its history. */
import { Err, Ok, type Result } from '@wagtailway/core'
import type { FeedEvent, StoreFailure, StoreUpdate } from '@wagtailway/gateway'
import type { VirtualWorld } from '../hunt/virtualWorld.js'

/** An object of the store; its size in the fleet is that of its JSON text. */
export interface VirtualObject {
  readonly version: number
  readonly contents: unknown
}

interface StoredChange extends FeedEvent<VirtualObject> {
  readonly revision: number
}

/** Contents of the store at one moment, to restore it from. */
export interface VirtualStoreCopy {
  readonly objects: ReadonlyMap<string, VirtualObject>
  readonly revision: number
}

/** What a call returns; how long its transfer took depends on the links. */
export type VirtualUpdate = Omit<StoreUpdate<VirtualObject>, 'transferMs'>

/**
 * Objects with revisions, lists and watches.
 *
 * @example
 * const store = VirtualStore.create(world)
 * store.put('main', { version: 1, contents })
 */
export class VirtualStore {
  #era = 1
  #revision = 1
  #objects = new Map<string, VirtualObject>()
  #history: StoredChange[] = []
  #historyStartRevision = 0
  readonly #wakeups = new Set<() => void>()

  private constructor(private readonly world: VirtualWorld) {}

  static create(world: VirtualWorld): VirtualStore {
    return new VirtualStore(world)
  }

  put(name: string, object: VirtualObject): void {
    this.#revision += 1
    this.#objects.set(name, object)
    this.#history.push({ name, object, revision: this.#revision })
    for (const wake of [...this.#wakeups]) wake()
  }

  get era(): number {
    return this.#era
  }

  copy(): VirtualStoreCopy {
    return { objects: new Map(this.#objects), revision: this.#revision }
  }

  /**
   * Restores the store from an older copy; revisions since are given out again, and
   * waiting watches fail.
   */
  restore({ objects, revision }: VirtualStoreCopy): void {
    this.#objects = new Map(objects)
    this.#revision = revision
    this.#era += 1
    this.#history = []
    this.#historyStartRevision = revision
    for (const wake of [...this.#wakeups]) wake()
  }

  list(): VirtualUpdate {
    const events = [...this.#objects].map(([name, object]) => ({ name, object }))
    return { events, era: this.#era, revision: this.#revision }
  }

  /** Resolves with all changes after a revision, at once or after `waitMs` at most. */
  watch(after: number, waitMs: number): Promise<Result<VirtualUpdate, StoreFailure>> {
    const historyGone = Err({ type: 'history_gone', detail: `after ${after}` } as const)
    if (after < this.#historyStartRevision || after > this.#revision) {
      return Promise.resolve(historyGone)
    }
    const era = this.#era
    return new Promise((resolve) => {
      const respond = (): void => {
        this.#wakeups.delete(respond)
        cancelTimer()
        if (era !== this.#era) {
          resolve(historyGone)
          return
        }
        const events = this.#history.filter(({ revision }) => revision > after)
        resolve(Ok({ events, era: this.#era, revision: this.#revision }))
      }
      const cancelTimer = this.world.after(waitMs, respond)
      if (after < this.#revision) respond()
      else this.#wakeups.add(respond)
    })
  }
}
