/** What the gateway needs of the platform's store, whatever its protocol is. */
import type { Result } from '@wagtailway/core'
import type { FeedEvent } from '../feed/feedState.js'
import type { BackendServer } from '../model/backendServer.js'
import type { GatewayConfig } from '../model/config.js'
import type { PeerAddress } from '../peers/peerTable.js'
import type { Rollout } from '../rollout/rolloutBook.js'

/** Kinds of objects that every entry instance follows. */
export type FollowedKind = 'config' | 'servers' | 'rollouts'

/** Why a call has no result; a call without an answer may have been carried out. */
export interface StoreFailure {
  readonly type: 'unavailable' | 'history_gone' | 'conflict' | 'missing'
  readonly detail: string
  /** Revision of the object that conflicts, if it is known. */
  readonly revision?: number
}

/** Objects or changes, with the revision up to which they are complete. */
export interface StoreNews<T> {
  readonly events: readonly FeedEvent<T>[]
  readonly revision: number
}

/**
 * The store. Objects of type `T` are passed on between instances as they are and
 * decoded by each; a decoder returns undefined for what can't be read.
 */
export interface StorePort<T> {
  list(kind: FollowedKind): Promise<Result<StoreNews<T>, StoreFailure>>
  /** Waits up to `waitMs` for changes after a revision. */
  watch(
    kind: FollowedKind,
    after: number,
    waitMs: number,
  ): Promise<Result<StoreNews<T>, StoreFailure>>
  /** The configuration in an object, if it is the one that counts. */
  readConfig(name: string, object: T): GatewayConfig | 'unreadable' | 'other'
  readServer(object: T): BackendServer | undefined
  readRollout(object: T): Rollout | undefined
  /** Writes a roll-out's state if its object is still at the roll-out's revision. */
  writeRollout(rollout: Rollout): Promise<Result<unknown, StoreFailure>>
  /** Tells the other entry instances where this one is; false if it wasn't stored. */
  register(address: PeerAddress): Promise<boolean>
  unregister(name: string): Promise<void>
  /** Entry instances that have registered, possibly some seconds ago; undefined if unknown. */
  instances(): Promise<readonly PeerAddress[] | undefined>
  close(): void
}
