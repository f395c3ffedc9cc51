/**
 * Interface of the platform's versioned object store.
 *
 * A failed call doesn't show whether it took effect. A caller whose confirmation was
 * lost reads the object again and recognises its own write.
 */
import type { Result } from '../result.js'

/** Kinds of objects that wagtailway stores in the platform. */
export type ObjectKind =
  'declaration' | 'config' | 'claim' | 'session' | 'billing' | 'status' | 'lease'

export interface StoredObject {
  readonly kind: ObjectKind
  readonly name: string
  /** Revision of the store at the last write to this object; every write increases it. */
  readonly revision: number
  /** A JSON value of at most one megabyte. */
  readonly value: unknown
}

export interface Unavailable {
  readonly type: 'unavailable'
  readonly message: string
}

export interface Conflict {
  readonly type: 'conflict'
  /** Current revision of the object; zero if it doesn't exist. */
  readonly revision: number
}

export interface ObjectList {
  /** Revision of the store when the list was read. */
  readonly revision: number
  readonly objects: readonly StoredObject[]
}

export interface ObjectStore {
  get(
    kind: ObjectKind,
    name: string,
  ): Promise<Result<StoredObject | undefined, Unavailable>>
  list(kind: ObjectKind, prefix: string): Promise<Result<ObjectList, Unavailable>>
  /** Writes if the object's revision is `ifRevision`; zero means that it must not exist. */
  put(
    kind: ObjectKind,
    name: string,
    value: unknown,
    ifRevision: number,
  ): Promise<Result<StoredObject, Conflict | Unavailable>>
  /** Waits up to `waitMs` for objects written after `afterRevision`. */
  watch(
    kind: ObjectKind,
    afterRevision: number,
    waitMs: number,
  ): Promise<Result<ObjectList, Unavailable>>
}

/** Name of the one object that holds the configuration in force. */
export const CONFIG_OBJECT = 'current'
