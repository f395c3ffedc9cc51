/** In-memory implementation of the versioned object store, with injected faults. */
import { Err, Ok, type Result } from '../result.js'
import type {
  Conflict,
  ObjectKind,
  ObjectList,
  ObjectStore,
  StoredObject,
  Unavailable,
} from './objectStore.js'

/**
 * Fault of one call. A `lost` call fails without effect; an `unconfirmed` one fails too,
 * but its write has taken effect.
 */
export type CallFault = 'none' | 'lost' | 'unconfirmed'

/** Decides the fault of a call; given by the test or the stand-in that owns the store. */
export type FaultSource = (operation: keyof ObjectStore) => CallFault

/**
 * Object store for tests, experiments and the platform stand-in.
 *
 * @example
 * const store = MemoryStore.create()
 * await store.put('config', 'current', {}, 0)
 */
export class MemoryStore implements ObjectStore {
  readonly #objects = new Map<string, StoredObject>()
  readonly #callCounts = new Map<keyof ObjectStore, number>()
  readonly #changeListeners = new Set<() => void>()
  #revision = 0

  private constructor(readonly faults: FaultSource) {}

  /** @param faults Decides the fault of each call; by default there are none. */
  static create(faults: FaultSource = () => 'none'): MemoryStore {
    return new MemoryStore(faults)
  }

  /** Number of calls of an operation so far. */
  callCount(operation: keyof ObjectStore): number {
    return this.#callCounts.get(operation) ?? 0
  }

  /** All objects of a kind, without counting a call or applying a fault. */
  peek(kind: ObjectKind): readonly StoredObject[] {
    return this.#select(kind, 0, '').objects
  }

  get(
    kind: ObjectKind,
    name: string,
  ): Promise<Result<StoredObject | undefined, Unavailable>> {
    return this.#read('get', () => this.#objects.get(keyOf(kind, name)))
  }

  list(kind: ObjectKind, prefix: string): Promise<Result<ObjectList, Unavailable>> {
    return this.#read('list', () => this.#select(kind, 0, prefix))
  }

  put(
    kind: ObjectKind,
    name: string,
    value: unknown,
    ifRevision: number,
  ): Promise<Result<StoredObject, Conflict | Unavailable>> {
    const fault = this.#recordCall('put')
    if (fault === 'lost') return Promise.resolve(Err(UNAVAILABLE))
    const current = this.#objects.get(keyOf(kind, name))?.revision ?? 0
    const written =
      current === ifRevision ? Ok(this.#write(kind, name, value)) : Err(conflict(current))
    return Promise.resolve(fault === 'unconfirmed' ? Err(UNAVAILABLE) : written)
  }

  async watch(
    kind: ObjectKind,
    afterRevision: number,
    waitMs: number,
  ): Promise<Result<ObjectList, Unavailable>> {
    if (this.#recordCall('watch') !== 'none') return Err(UNAVAILABLE)
    const found = this.#select(kind, afterRevision, '')
    if (found.objects.length > 0 || waitMs <= 0) return Ok(found)
    await this.#waitForChange(waitMs)
    return Ok(this.#select(kind, afterRevision, ''))
  }

  #read<T>(
    operation: keyof ObjectStore,
    query: () => T,
  ): Promise<Result<T, Unavailable>> {
    const fault = this.#recordCall(operation)
    return Promise.resolve(fault === 'none' ? Ok(query()) : Err(UNAVAILABLE))
  }

  #recordCall(operation: keyof ObjectStore): CallFault {
    this.#callCounts.set(operation, this.callCount(operation) + 1)
    return this.faults(operation)
  }

  #select(kind: ObjectKind, afterRevision: number, prefix: string): ObjectList {
    const objects = [...this.#objects.values()].filter(
      (o) => o.kind === kind && o.revision > afterRevision && o.name.startsWith(prefix),
    )
    return { revision: this.#revision, objects }
  }

  #write(kind: ObjectKind, name: string, value: unknown): StoredObject {
    this.#revision += 1
    const copy: unknown = JSON.parse(JSON.stringify(value))
    const object = { kind, name, revision: this.#revision, value: copy }
    this.#objects.set(keyOf(kind, name), object)
    for (const onChange of this.#changeListeners) onChange()
    return object
  }

  #waitForChange(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const onChange = (): void => {
        clearTimeout(timer)
        this.#changeListeners.delete(onChange)
        resolve()
      }
      const timer = setTimeout(onChange, waitMs)
      this.#changeListeners.add(onChange)
    })
  }
}

const UNAVAILABLE: Unavailable = {
  type: 'unavailable',
  message: 'The platform did not answer.',
}

function conflict(revision: number): Conflict {
  return { type: 'conflict', revision }
}

function keyOf(kind: ObjectKind, name: string): string {
  return `${kind}/${name}`
}
