/**
 * Objects that only the holder of a lease may change.
 *
 * An object stores the fencing token of its last writer. A new holder writes its token
 * to the object before it acts. After that, a former holder that resumes from a pause
 * finds a higher token, or its conditional write fails on the changed revision.
 */
import { Err, type Result } from '../result.js'
import type {
  Conflict,
  ObjectKind,
  ObjectStore,
  StoredObject,
  Unavailable,
} from '../platform/objectStore.js'
import type { Lease } from './lease.js'
import * as z from 'zod'

const fencedSchema = z.object({ fence: z.number().int(), value: z.unknown() })

/** The writer no longer holds the lease, or never held it. */
export interface Fenced {
  readonly type: 'fenced'
}

export type FencedError = Fenced | Conflict | Unavailable

export interface FencedObjectOptions {
  readonly store: ObjectStore
  readonly kind: ObjectKind
  readonly name: string
  readonly lease: Pick<Lease, 'fence'>
}

/**
 * Updates one object under the protection of a lease.
 *
 * @example
 * const state = FencedObject.create({ store, kind: 'status', name: 'rollout', lease })
 * await state.update((value) => value) // writes this holder's fencing token
 */
export class FencedObject {
  private constructor(private readonly opts: FencedObjectOptions) {}

  static create(opts: FencedObjectOptions): FencedObject {
    return new FencedObject(opts)
  }

  /**
   * Updates the value if the lease is still held when the write is sent.
   *
   * @param change Returns the new value; its argument is the current one, `undefined` if
   *   there is none.
   */
  async update(
    change: (value: unknown) => unknown,
  ): Promise<Result<StoredObject, FencedError>> {
    const { store, kind, name, lease } = this.opts
    const read = await store.get(kind, name)
    if (read.err) return read
    const stored = read.val && fencedSchema.parse(read.val.value)
    const value = change(stored?.value)
    // Checked after the read, which may have taken long, and during which this process may
    // have been paused.
    const fence = lease.fence
    if (fence === undefined || fence < (stored?.fence ?? 0))
      return Err({ type: 'fenced' })
    return store.put(kind, name, { fence, value }, read.val?.revision ?? 0)
  }
}
