/** The versioned object API in memory, with the faults of the real one. */
import { Err, Ok, type Result } from '../result.js'
import type {
  Conflict,
  ObjectKind,
  ObjectList,
  ObjectStore,
  StoredObject,
  Unavailable,
} from './objectStore.js'

/** What happens to one call; given by the test or the stand-in that owns the store. */
export type CallFault = 'none' | 'lost' | 'unconfirmed'

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
  readonly #calls = new Map<keyof ObjectStore, number>()
  readonly #waiters = new Set<() => void>()
  #revision = 0

  private constructor(readonly faults: FaultSource) {}

  /** @param faults Decides the fate of each call; all succeed by default. */
  static create(faults: FaultSource = () => 'none'): MemoryStore {
    return new MemoryStore(faults)
  }

  /** Number of calls so far by operation. */
  callCount(operation: keyof ObjectStore): number {
    return this.#calls.get(operation) ?? 0
  }

  /** All objects of a kind, for checks that don't count as calls and meet no faults. */
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
    const fault = this.#count('put')
    if (fault === 'lost') return Promise.resolve(Err(LOST))
    const current = this.#objects.get(keyOf(kind, name))?.revision ?? 0
    const written =
      current === ifRevision ? Ok(this.#write(kind, name, value)) : Err(conflict(current))
    return Promise.resolve(fault === 'unconfirmed' ? Err(LOST) : written)
  }

  async watch(
    kind: ObjectKind,
    afterRevision: number,
    waitMs: number,
  ): Promise<Result<ObjectList, Unavailable>> {
    if (this.#count('watch') !== 'none') return Err(LOST)
    const found = this.#select(kind, afterRevision, '')
    if (found.objects.length > 0 || waitMs <= 0) return Ok(found)
    await this.#change(waitMs)
    return Ok(this.#select(kind, afterRevision, ''))
  }

  #read<T>(
    operation: keyof ObjectStore,
    query: () => T,
  ): Promise<Result<T, Unavailable>> {
    const fault = this.#count(operation)
    return Promise.resolve(fault === 'none' ? Ok(query()) : Err(LOST))
  }

  #count(operation: keyof ObjectStore): CallFault {
    this.#calls.set(operation, this.callCount(operation) + 1)
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
    for (const wake of this.#waiters) wake()
    return object
  }

  #change(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = (): void => {
        clearTimeout(timer)
        this.#waiters.delete(wake)
        resolve()
      }
      const timer = setTimeout(wake, waitMs)
      this.#waiters.add(wake)
    })
  }
}

const LOST: Unavailable = { type: 'unavailable', message: 'The platform did not answer.' }

function conflict(revision: number): Conflict {
  return { type: 'conflict', revision }
}

function keyOf(kind: ObjectKind, name: string): string {
  return `${kind}/${name}`
}
