/** What a fault of the soak is, and what it may act on. */
import type { Random } from '@wagtailway/core'
import type { ReplicaStandin, StoreCopy, StoreStandin } from '@wagtailway/standins'
import type { BadTrait, ColdPeriod, LimitPeriod } from './soakCheck.js'
import type { SoakGateway } from './soakGateway.js'

/** The trait under which replicas crash now. */
export interface CurrentTrait {
  current: BadTrait | undefined
}

export interface SoakContext {
  /** Random numbers of one fault. */
  readonly random: Random
  readonly store: StoreStandin
  readonly gateways: readonly SoakGateway[]
  readonly replicas: readonly ReplicaStandin[]
  /** Writes the replica's entry with a state to the store. */
  readonly writeEntry: (replica: ReplicaStandin, state: 'ready' | 'draining') => void
  readonly badTrait: CurrentTrait
  readonly limitPeriods: LimitPeriod[]
  readonly coldPeriods: ColdPeriod[]
  /** Stores a configuration without the key that the one before added. */
  readonly revokeKey: () => void
  /**
   * Restores the store from a copy; the replicas and the operator write again a little
   * later.
   */
  readonly restoreStore: (copy: StoreCopy) => void
  /** Marks the store as disturbed for the next `ms` milliseconds. */
  readonly markStoreDisturbed: (ms: number) => void
}

export interface Fault {
  readonly name: string
  /** Time after which the fault is undone, in milliseconds. */
  readonly ms: number
  /** Injects the fault; returns a function that undoes it, if it needs undoing. */
  readonly inject: (context: SoakContext) => (() => void) | undefined
}

/**
 * Time after the end of a fault until the bounds on following the store apply again, in
 * milliseconds.
 */
export const RECOVERY_MS = 3_500

/** Returns one of the items, or none if there are none. */
export function selectRandom<T>(random: Random, items: readonly T[]): T | undefined {
  return items[Math.floor(random() * items.length)]
}

/**
 * Marks a gateway as disturbed for a time and the recovery after it; the bounds on following
 * the store don't apply then.
 */
export function markDisturbed(gateway: SoakGateway, ms: number): void {
  const untilMs = performance.now() + ms + RECOVERY_MS
  gateway.disturbedUntilMs = Math.max(gateway.disturbedUntilMs, untilMs)
}
