/**
 * Whether this node may suspect other members. It may not right after a pause of its
 * process, while most of its probes fail, or while it can't reach their zone.
 */
import type { Clock } from '../clock.js'
import {
  HEALTH_WINDOW,
  PAUSE_GRACE_MS,
  PAUSE_MS,
  UNREACHABLE_ZONE_MEMBERS,
} from './constants.js'

/**
 * Health of this node itself, judged by its ticks and the results of its probes.
 *
 * @example
 * const health = LocalHealth.create(clock)
 * health.tick()
 * health.canSuspect('z1')
 */
export class LocalHealth {
  #tickedAtMs: number
  #graceUntilMs = Number.NEGATIVE_INFINITY
  #results: boolean[] = []
  readonly #failedByZone = new Map<string, Set<string>>()

  private constructor(private readonly clock: Clock) {
    this.#tickedAtMs = clock()
  }

  static create(clock: Clock): LocalHealth {
    return new LocalHealth(clock)
  }

  /**
   * Records that the process is running; returns whether it was paused since the last
   * tick.
   */
  tick(): boolean {
    const now = this.clock()
    const paused = now - this.#tickedAtMs > PAUSE_MS
    this.#tickedAtMs = now
    if (!paused) return false
    this.#graceUntilMs = now + PAUSE_GRACE_MS
    this.#results = []
    this.#failedByZone.clear()
    return true
  }

  recordSuccess(zone: string): void {
    this.#recordResult(true)
    this.#failedByZone.delete(zone)
  }

  recordFailure(zone: string, node: string): void {
    this.#recordResult(false)
    const failedNodes = this.#failedByZone.get(zone) ?? new Set()
    this.#failedByZone.set(zone, failedNodes.add(node))
  }

  /**
   * Whether a tick found a pause less than the grace time ago, or the last tick is so long
   * ago that the process must have been paused since.
   */
  get isPaused(): boolean {
    const now = this.clock()
    return now < this.#graceUntilMs || now - this.#tickedAtMs > PAUSE_MS
  }

  /**
   * Whether most of the latest probes failed, so that the fault is likely at this node.
   */
  get isIsolated(): boolean {
    const failures = this.#results.filter((ok) => !ok).length
    const hasEnoughResults = this.#results.length >= HEALTH_WINDOW / 2
    return hasEnoughResults && failures > this.#results.length / 2
  }

  /**
   * Whether several members of a zone failed and no probe in the zone has succeeded
   * since.
   */
  isZoneUnreachable(zone: string): boolean {
    return (this.#failedByZone.get(zone)?.size ?? 0) >= UNREACHABLE_ZONE_MEMBERS
  }

  /** Whether failed probes may make a member of this zone suspect, or remove it. */
  canSuspect(zone: string): boolean {
    return !this.isPaused && !this.isIsolated && !this.isZoneUnreachable(zone)
  }

  #recordResult(ok: boolean): void {
    this.#results.push(ok)
    if (this.#results.length > HEALTH_WINDOW) this.#results.shift()
  }
}
