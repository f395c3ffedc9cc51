/**
 * Objects that only the holder of a lease may change.
 *
 * The value carries the fencing number of its last writer. A new holder stamps the
 * object before it acts; from then on a former holder that wakes finds a higher
 * number, or its conditional update finds another revision.
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
import { z } from 'zod'

const fencedSchema = z.object({ fence: z.number().int(), value: z.unknown() })

/** The writer holds the lease no longer, or never did. */
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
 * Reads and writes one guarded object.
 *
 * @example
 * const state = FencedObject.create({ store, kind: 'status', name: 'rollout', lease })
 * await state.update((value) => value) // stamps it for this holder
 */
export class FencedObject {
  private constructor(private readonly opts: FencedObjectOptions) {}

  static create(opts: FencedObjectOptions): FencedObject {
    return new FencedObject(opts)
  }

  /**
   * Changes the value if the lease is still held when the write is sent.
   *
   * @param change Gets the present value, `undefined` if there is none.
   */
  async update(
    change: (value: unknown) => unknown,
  ): Promise<Result<StoredObject, FencedError>> {
    const { store, kind, name, lease } = this.opts
    const read = await store.get(kind, name)
    if (read.err) return read
    const stored = read.val && fencedSchema.parse(read.val.value)
    const value = change(stored?.value)
    // Checked last: the read may have taken long, or this process may have been frozen.
    const fence = lease.fence
    if (fence === undefined || fence < (stored?.fence ?? 0))
      return Err({ type: 'fenced' })
    return store.put(kind, name, { fence, value }, read.val?.revision ?? 0)
  }
}
