/**
 * Interface of the platform's store as the gateway needs it, independent of its
 * protocol.
 */
import type { Result } from '@wagtailway/core'
import type { FeedEvent, StorePosition } from '../feed/feedState.js'
import type { BackendServer } from '../model/backendServer.js'
import type { GatewayConfig } from '../model/config.js'
import type { TraitState } from '../quarantine/traitQuarantine.js'
import type { PeerAddress } from '../peers/peerTable.js'
import type { Rollout } from '../rollout/rolloutTable.js'

/**
 * Kinds of objects that every entry instance follows; `evacuations` only in deployments that
 * have a bound for them.
 */
export type FollowedKind = 'config' | 'servers' | 'rollouts' | 'evacuations'

/** Why a call failed; a call without a response may still have been executed. */
export interface StoreFailure {
  readonly type: 'unavailable' | 'history_gone' | 'conflict' | 'missing'
  readonly detail: string
  /** Current revision of the conflicting object, if known. */
  readonly revision?: number
}

/** Objects or changes, with the position up to which they are complete. */
export interface StoreUpdate<T> extends StorePosition {
  readonly events: readonly FeedEvent<T>[]
  /** Time from the first to the last byte of the response, in milliseconds. */
  readonly transferMs: number
}

/**
 * The store. Objects of type `T` are forwarded between instances unchanged, and each
 * instance decodes them; a decoder returns undefined for an object that can't be read.
 */
export interface StorePort<T> {
  list(kind: FollowedKind): Promise<Result<StoreUpdate<T>, StoreFailure>>
  /** Waits up to `waitMs` for changes after the revision `after`. */
  watch(
    kind: FollowedKind,
    after: number,
    waitMs: number,
  ): Promise<Result<StoreUpdate<T>, StoreFailure>>
  /** Whether two objects of the same kind and name don't differ in anything. */
  isSame(a: T, b: T): boolean
  /** Decodes the configuration; 'other' if the object is not the one in use. */
  decodeConfig(name: string, object: T): GatewayConfig | 'unreadable' | 'other'
  decodeServer(object: T): BackendServer | undefined
  decodeRollout(object: T): Rollout | undefined
  /**
   * Writes the state of a rollout if the stored object is still at the rollout's
   * revision.
   */
  writeRollout(rollout: Rollout): Promise<Result<unknown, StoreFailure>>
  /** Reads the states of quarantined prompt parts; no revision if none are stored. */
  readTraitStates(): Promise<
    Result<{ states: readonly TraitState[]; revision: number | undefined }, StoreFailure>
  >
  /**
   * Writes the states of all parts if the stored ones are still at `revision`, or if there
   * are none and it is `undefined`.
   */
  writeTraitStates(
    states: readonly TraitState[],
    revision: number | undefined,
  ): Promise<Result<unknown, StoreFailure>>
  /** Stores the address of this entry instance for the others; false if that failed. */
  register(address: PeerAddress): Promise<boolean>
  unregister(name: string): Promise<void>
  /**
   * Addresses of registered entry instances, possibly some seconds out of date; undefined
   * if the store is unavailable.
   */
  instances(): Promise<readonly PeerAddress[] | undefined>
  close(): void
}
