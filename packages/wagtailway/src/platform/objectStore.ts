/**
 * The platform's versioned objects, as the coordination parts see them.
 *
 * Every call can fail without a word on whether it took effect; callers that
 * lost a confirmation read the object again and recognise their own write.
 */
import type { Result } from '../result.js'

/** Kinds of objects that wagtailway keeps in the platform. */
export type ObjectKind =
  'declaration' | 'config' | 'claim' | 'session' | 'billing' | 'status' | 'lease'

export interface StoredObject {
  readonly kind: ObjectKind
  readonly name: string
  /** Grows with every write to any object. */
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
  /** Revision of the object now; zero if there is none. */
  readonly revision: number
}

export interface ObjectList {
  /** Revision of the store when the list was made. */
  readonly revision: number
  readonly objects: readonly StoredObject[]
}

export interface ObjectStore {
  get(
    kind: ObjectKind,
    name: string,
  ): Promise<Result<StoredObject | undefined, Unavailable>>
  list(kind: ObjectKind, prefix: string): Promise<Result<ObjectList, Unavailable>>
  /** Writes if the object is still at `ifRevision`; zero means that it must not exist. */
  put(
    kind: ObjectKind,
    name: string,
    value: unknown,
    ifRevision: number,
  ): Promise<Result<StoredObject, Conflict | Unavailable>>
  /** Waits up to `waitMs` for objects newer than `afterRevision`. */
  watch(
    kind: ObjectKind,
    afterRevision: number,
    waitMs: number,
  ): Promise<Result<ObjectList, Unavailable>>
}

/** Name of the one object that holds the configuration in force. */
export const CONFIG_OBJECT = 'current'
