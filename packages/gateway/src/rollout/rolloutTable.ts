/**
 * Which versions of a service get requests while a new one is brought in.
 *
 * Answers the pattern in which a new version is bad at once, after a while or only under
 * load: until it is judged, only a small part of the sessions uses it; then the part
 * grows in steps. A session's place in the order of growth is a hash that every node
 * computes alike, so a session moves to the new version once and never back.
 */
import { hash32, type Clock } from '@wagtailway/core'
import type { RecentSessions } from './recentSessions.js'

/** State of a roll-out that all entry instances share. */
export type RolloutState = 'running' | 'completed' | 'rolled_back'

/** An operator's order, with what the entry instances have decided. */
export interface Rollout {
  readonly service: string
  readonly target: string
  readonly durationMs: number
  readonly state: RolloutState
  /** Share of the sessions that use the target. */
  readonly share: number
  /** Revision of the object that holds it. */
  readonly revision: number
}

/** A roll-out as this process knows it. */
export interface KnownRollout extends Rollout {
  /** When this process first saw the order, on the monotonic clock. */
  readonly firstSeenAtMs: number
}

/** Shares below this belong to the trial, in which no session changes its version. */
const TRIAL_END_SHARE = 0.3

/** Hashes lie below this. */
const HASH_END = 2 ** 32

/** Whether a version may be used. */
export type VersionFilter = (version: string) => boolean

/**
 * Roll-outs of all services.
 *
 * @example
 * book.put(rollout)
 * book.versionsFor('summariser', 'session-7') // filters, the preferred one first
 */
export class RolloutTable {
  readonly #rollouts = new Map<string, KnownRollout>()
  /** Targets that this process has withdrawn before the others agreed. */
  readonly #withdrawn = new Map<string, string>()

  private constructor(
    private readonly clock: Clock,
    readonly sessions: RecentSessions,
  ) {}

  static create(clock: Clock, sessions: RecentSessions): RolloutTable {
    return new RolloutTable(clock, sessions)
  }

  /** Takes in an order or a change of its state; older revisions are ignored. */
  put(rollout: Rollout): void {
    const old = this.#rollouts.get(rollout.service)
    if (old && old.revision > rollout.revision) return
    const isSame = old?.target === rollout.target && !isOver(old)
    const firstSeenAtMs = isSame ? old.firstSeenAtMs : this.clock()
    this.#rollouts.set(rollout.service, { ...rollout, firstSeenAtMs: firstSeenAtMs })
    if (!isSame && old?.target !== rollout.target) this.#withdrawn.delete(rollout.service)
  }

  /** Forgets roll-outs of all other services. */
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

  /** Stops using the target at once. */
  withdraw(service: string, target: string): void {
    this.#withdrawn.set(service, target)
  }

  isWithdrawn(service: string, target: string): boolean {
    return this.#withdrawn.get(service) === target
  }

  /**
   * Filters of the versions that a request may use, the preferred one first. A later
   * filter counts only if no server passes the earlier ones.
   *
   * @param place Place of the request's session in the order of growth, from 0 to 1.
   */
  versionFilters(service: string, place: number, sessionKey?: string): VersionFilter[] {
    const rollout = this.#rollouts.get(service)
    if (!rollout) return [() => true]
    const { target, share, state } = rollout
    const isTarget: VersionFilter = (version) => version === target
    const isOther: VersionFilter = (version) => version !== target
    if (state === 'rolled_back' || this.isWithdrawn(service, target)) return [isOther]
    if (state === 'completed' || share >= 1) return [isTarget, isOther]
    if (place >= share) return [isOther]
    const isTrial = share < TRIAL_END_SHARE
    const staysOld =
      isTrial && sessionKey !== undefined && this.sessions.wasOnOld(service, sessionKey)
    return staysOld ? [isOther] : [isTarget, isOther]
  }
}

/**
 * Place of a session in the order in which sessions move to a new version.
 *
 * @example
 * sessionPlace('v2', 'session-7') // the same number in [0, 1) at every node
 */
export function sessionPosition(target: string, sessionKey: string): number {
  return hash32(`${target} ${sessionKey}`) / HASH_END
}

function isOver({ state }: Rollout): boolean {
  return state !== 'running'
}
