/** Whether this node may judge others: it may not while paused, cut off or apart from their zone. */
import type { Clock } from '../clock.js'
import {
  HEALTH_WINDOW,
  PAUSE_GRACE_MS,
  PAUSE_MS,
  ZONE_APART_MEMBERS,
} from './constants.js'

/**
 * This node's own standing, from its ticks and the outcomes of its probes.
 *
 * @example
 * const health = OwnHealth.create(clock)
 * health.tick()
 * health.mayJudge('z1')
 */
export class OwnHealth {
  #tickedAtMs: number
  #graceUntilMs = Number.NEGATIVE_INFINITY
  #outcomes: boolean[] = []
  readonly #failedByZone = new Map<string, Set<string>>()

  private constructor(private readonly clock: Clock) {
    this.#tickedAtMs = clock()
  }

  static create(clock: Clock): OwnHealth {
    return new OwnHealth(clock)
  }

  /** Notes that the process runs; returns whether it was paused since the last tick. */
  tick(): boolean {
    const now = this.clock()
    const paused = now - this.#tickedAtMs > PAUSE_MS
    this.#tickedAtMs = now
    if (!paused) return false
    this.#graceUntilMs = now + PAUSE_GRACE_MS
    this.#outcomes = []
    this.#failedByZone.clear()
    return true
  }

  succeeded(zone: string): void {
    this.#note(true)
    this.#failedByZone.delete(zone)
  }

  failed(zone: string, node: string): void {
    this.#note(false)
    const failed = this.#failedByZone.get(zone) ?? new Set()
    this.#failedByZone.set(zone, failed.add(node))
  }

  /** Whether a pause has just ended, or is still unnoticed by the ticks. */
  get isPaused(): boolean {
    const now = this.clock()
    return now < this.#graceUntilMs || now - this.#tickedAtMs > PAUSE_MS
  }

  /** Whether most of the latest probes failed, so that the fault is likely here. */
  get isCutOff(): boolean {
    const failures = this.#outcomes.filter((ok) => !ok).length
    const enough = this.#outcomes.length >= HEALTH_WINDOW / 2
    return enough && failures > this.#outcomes.length / 2
  }

  /** Whether several members of a zone failed in a row and none answered. */
  isApart(zone: string): boolean {
    return (this.#failedByZone.get(zone)?.size ?? 0) >= ZONE_APART_MEMBERS
  }

  /** Whether a failure of a member in this zone may be told to others. */
  mayJudge(zone: string): boolean {
    return !this.isPaused && !this.isCutOff && !this.isApart(zone)
  }

  #note(ok: boolean): void {
    this.#outcomes.push(ok)
    if (this.#outcomes.length > HEALTH_WINDOW) this.#outcomes.shift()
  }
}
