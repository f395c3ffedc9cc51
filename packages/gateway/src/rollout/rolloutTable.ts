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

/** A rollout as this process knows it. */
export interface KnownRollout extends Rollout {
  /** When this process first received the order, on the monotonic clock. */
  readonly firstSeenAtMs: number
}

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
    const isSameRollout = previous?.target === rollout.target && !isFinished(previous)
    const firstSeenAtMs = isSameRollout ? previous.firstSeenAtMs : this.clock()
    this.#rollouts.set(rollout.service, { ...rollout, firstSeenAtMs })
    if (!isSameRollout && previous?.target !== rollout.target)
      this.#withdrawn.delete(rollout.service)
  }

  /** Removes the rollouts of all other services. */
  retainOnly(services: ReadonlySet<string>): void {
    for (const service of [...this.#rollouts.keys()]) {
      if (!services.has(service)) this.remove(service)
    }
  }

  remove(service: string): void {
    this.#rollouts.delete(service)
  }

  running(): KnownRollout[] {
    return [...this.#rollouts.values()].filter(({ state }) => state === 'running')
  }

  get(service: string): KnownRollout | undefined {
    return this.#rollouts.get(service)
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

function isFinished({ state }: Rollout): boolean {
  return state !== 'running'
}
