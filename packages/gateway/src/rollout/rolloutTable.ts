/**
 * Which versions of a service get requests during a rollout.
 *
 * Limits the harm of a new version that is bad at once, after a while or only under load:
 * a canary with a small share of the sessions uses it first, then the share grows in steps.
 * A session moves when the share exceeds its position, a hash that is the same on every
 * node, so it moves to the new version once and never back.
 */
import { hash32, type Clock } from '@wagtailway/core'
import type { RecentSessions } from './recentSessions.js'

/** State of a rollout, shared by all entry instances. */
export type RolloutState = 'running' | 'completed' | 'rolled_back'

/** An operator's order for a rollout, with the state that the entry instances decided. */
export interface Rollout {
  readonly service: string
  readonly target: string
  readonly durationMs: number
  readonly state: RolloutState
  /** Share of the sessions that use the target version. */
  readonly share: number
  /** Revision of the stored object. */
  readonly revision: number
}

/**
 * Whether the store has the known state of a rollout. After a restore from an older copy
 * its state there may be outdated, or the order may be missing until the operator has
 * written it again.
 */
export type RolloutStorage = 'stored' | 'outdated' | 'missing'

/** A rollout as this process knows it. */
export interface KnownRollout extends Rollout {
  readonly storage: RolloutStorage
  /** When this process first received the order, on the monotonic clock. */
  readonly firstSeenAtMs: number
}

/** What the store lists while the known rollout of the same service is missing there. */
interface PendingRollout {
  /** `undefined` if the store lists none. */
  readonly listed: KnownRollout | undefined
  readonly untilMs: number
}

/**
 * Time for which a rollout is kept that is missing after a restore of the store, in
 * milliseconds.
 */
const MISSING_ROLLOUT_MS = 5_000

/** Below this share a rollout is a canary, in which no active session changes its version. */
const CANARY_END_SHARE = 0.3

/** Exclusive upper bound of the hashes. */
const HASH_RANGE = 2 ** 32

/** Whether a request may use a version. */
export type VersionFilter = (version: string) => boolean

/**
 * The latest rollout of each service.
 *
 * @example
 * rollouts.put(rollout)
 * rollouts.versionFilters('summariser', 0.2, 'session-7') // the preferred one first
 */
export class RolloutTable {
  readonly #rollouts = new Map<string, KnownRollout>()
  readonly #pending = new Map<string, PendingRollout>()
  /** Withdrawn target by service; this process may withdraw it before the others agree. */
  readonly #withdrawn = new Map<string, string>()

  private constructor(
    private readonly clock: Clock,
    readonly recentSessions: RecentSessions,
  ) {}

  static create(clock: Clock, recentSessions: RecentSessions): RolloutTable {
    return new RolloutTable(clock, recentSessions)
  }

  /** Stores an order or a change of its state; older revisions are ignored. */
  put(rollout: Rollout): void {
    const previous = this.#rollouts.get(rollout.service)
    if (previous && previous.revision > rollout.revision) return
    this.#pending.delete(rollout.service)
    if (previous && previous.storage !== 'stored' && previous.target === rollout.target) {
      this.#rollouts.set(rollout.service, mergeRestored(previous, rollout))
      return
    }
    const isSameRollout = previous?.target === rollout.target && !isFinished(previous)
    const firstSeenAtMs = isSameRollout ? previous.firstSeenAtMs : this.clock()
    this.#rollouts.set(rollout.service, { ...rollout, firstSeenAtMs, storage: 'stored' })
    if (!isSameRollout && previous?.target !== rollout.target)
      this.#withdrawn.delete(rollout.service)
  }

  /**
   * Applies the rollout of a service that the first list after a restore of the store
   * contains; `undefined` if it contains none. A state that is further than the listed one
   * is kept, to be stored again. An order that is missing is kept for a while.
   */
  restore(service: string, listed: Rollout | undefined): void {
    const known = this.#rollouts.get(service)
    if (!known) {
      if (listed) this.put(listed)
      return
    }
    if (listed?.target === known.target) {
      this.#rollouts.set(service, mergeRestored(known, listed))
      return
    }
    const nowMs = this.clock()
    this.#rollouts.set(service, { ...known, revision: 0, storage: 'missing' })
    this.#pending.set(service, {
      listed: listed && { ...listed, firstSeenAtMs: nowMs, storage: 'stored' },
      untilMs: nowMs + MISSING_ROLLOUT_MS,
    })
  }

  /** Gives up missing rollouts that the operator has not written again in time. */
  expireMissing(): void {
    for (const [service, { listed, untilMs }] of this.#pending) {
      if (this.clock() < untilMs) continue
      this.#pending.delete(service)
      if (listed) this.#rollouts.set(service, listed)
      else this.remove(service)
    }
  }

  /** Removes the rollouts of all other services. */
  retainOnly(services: ReadonlySet<string>): void {
    for (const service of [...this.#rollouts.keys()]) {
      if (!services.has(service)) this.remove(service)
    }
  }

  remove(service: string): void {
    this.#pending.delete(service)
    this.#rollouts.delete(service)
  }

  /** Rollouts whose state the store doesn't have. */
  outdated(): KnownRollout[] {
    return [...this.#rollouts.values()].filter(({ storage }) => storage === 'outdated')
  }

  running(): KnownRollout[] {
    return [...this.#rollouts.values()].filter(({ state }) => state === 'running')
  }

  get(service: string): KnownRollout | undefined {
    return this.#rollouts.get(service)
  }

  /** Whether the servers of a version may be stopped because a rollout has ended. */
  isRetired(service: string, version: string): boolean {
    const rollout = this.#rollouts.get(service)
    if (!rollout) return false
    const { state, target } = rollout
    return state === 'completed'
      ? version !== target
      : state === 'rolled_back' && version === target
  }

  /** Makes this process stop using the target at once. */
  withdraw(service: string, target: string): void {
    this.#withdrawn.set(service, target)
  }

  isWithdrawn(service: string, target: string): boolean {
    return this.#withdrawn.get(service) === target
  }

  /**
   * Filters for the versions that a request may use, the preferred one first. A later
   * filter applies only if no server passes the earlier ones.
   *
   * @param position Position of the request's session in the rollout, from 0 to 1.
   */
  versionFilters(
    service: string,
    position: number,
    sessionKey?: string,
  ): VersionFilter[] {
    const rollout = this.#rollouts.get(service)
    if (!rollout) return [() => true]
    const { target, share, state } = rollout
    const isTarget: VersionFilter = (version) => version === target
    const isOldVersion: VersionFilter = (version) => version !== target
    if (state === 'rolled_back' || this.isWithdrawn(service, target))
      return [isOldVersion]
    if (state === 'completed' || share >= 1) return [isTarget, isOldVersion]
    if (position >= share) return [isOldVersion]
    const isCanary = share < CANARY_END_SHARE
    const staysOnOldVersion =
      isCanary &&
      sessionKey !== undefined &&
      this.recentSessions.wasOnOldVersion(service, sessionKey)
    return staysOnOldVersion ? [isOldVersion] : [isTarget, isOldVersion]
  }
}

/**
 * Position of a session in the order in which sessions move to a new version.
 *
 * @example
 * sessionPosition('v2', 'session-7') // the same number in [0, 1) at every node
 */
export function sessionPosition(target: string, sessionKey: string): number {
  return hash32(`${target} ${sessionKey}`) / HASH_RANGE
}

/** Joins a known state with a listed one of the same rollout that may be older. */
function mergeRestored(known: KnownRollout, listed: Rollout): KnownRollout {
  const { firstSeenAtMs, state, share } = known
  if (isFinished(listed) || progress(known) <= progress(listed)) {
    return { ...listed, firstSeenAtMs, storage: 'stored' }
  }
  return { ...listed, state, share, firstSeenAtMs, storage: 'outdated' }
}

/** How far a rollout is; any finished one is further than a running one. */
function progress(rollout: Rollout): number {
  return isFinished(rollout) ? Number.POSITIVE_INFINITY : rollout.share
}

function isFinished({ state }: Rollout): boolean {
  return state !== 'running'
}
