/** How answers of each backend server turned out while a roll-out runs, at all instances. */
import { DecayingAverage } from '@wagtailway/core'

/** Counts of one server's answers, of which old ones have faded. */
export interface ResponseCounts {
  /** Whole answers in time. */
  good: number
  /** Whole answers that took far longer than usual. */
  slow: number
  /** Failures. */
  bad: number
}

/** How an answer turned out. */
export type ResponseOutcome = keyof ResponseCounts

/** A measure this many times that of the old version is slow; bad versions reach three. */
const SLOW_FACTOR = 2.5

/** Time constant in which a count fades, in milliseconds: a trial's evidence of some seconds. */
const MEMORY_MS = 8_000

/** Counts below this are forgotten. */
const LEAST_COUNT = 0.02

/** Weight of a new measurement of the old version's speed. */
const SPEED_WEIGHT = 0.1

/** What one measurement may add to the usual speed, as a factor of it: load has outliers. */
const MOST_RISE = 2

/** Measures of speed below this are never slow, in milliseconds: timers are that coarse. */
const LEAST_SLOW_MS = 25

type Counts = ReadonlyMap<string, ResponseCounts>

/**
 * Own counts and those that other entry instances report.
 *
 * @example
 * evidence.note('s1', 'good')
 * evidence.total('s1') // { good: 1, slow: 0, bad: 0 }
 */
export class ServerEvidence {
  readonly #own = new Map<string, ResponseCounts>()
  readonly #peers = new Map<string, Counts>()
  readonly #speeds = new Map<string, DecayingAverage>()

  static create(): ServerEvidence {
    return new ServerEvidence()
  }

  get own(): Counts {
    return this.#own
  }

  note(serverId: string, kind: ResponseOutcome): void {
    const counts = this.#own.get(serverId) ?? { good: 0, slow: 0, bad: 0 }
    counts[kind] += 1
    this.#own.set(serverId, counts)
  }

  /**
   * Whether a measurement is slow against what the old version usually needs for the same.
   *
   * @param what What is measured, such as the pause between events of one model.
   * @param isReference Whether the old version was measured.
   */
  isSlow(what: string, ms: number, isReference: boolean): boolean {
    const average = this.#speeds.get(what) ?? DecayingAverage.create(SPEED_WEIGHT)
    const usual = average.value
    if (isReference) {
      average.add(usual === undefined ? ms : Math.min(ms, usual * MOST_RISE))
      this.#speeds.set(what, average)
    }
    return usual !== undefined && ms > LEAST_SLOW_MS && ms > usual * SLOW_FACTOR
  }

  /** Takes in all counts of another entry instance. */
  applyReport(peer: string, counts: Counts): void {
    this.#peers.set(peer, counts)
  }

  total(serverId: string): ResponseCounts {
    const total = { good: 0, slow: 0, bad: 0 }
    for (const counts of [this.#own, ...this.#peers.values()]) {
      const found = counts.get(serverId)
      if (!found) continue
      total.good += found.good
      total.slow += found.slow
      total.bad += found.bad
    }
    return total
  }

  /** Lets own counts fade, so that a good past doesn't hide a later fall. */
  decay(elapsedMs: number): void {
    const factor = Math.exp(-elapsedMs / MEMORY_MS)
    for (const [id, counts] of this.#own) {
      counts.good *= factor
      counts.slow *= factor
      counts.bad *= factor
      if (counts.good + counts.slow + counts.bad < LEAST_COUNT) this.#own.delete(id)
    }
  }

  /** Forgets counts of other entry instances that are not among those heard lately. */
  retainPeers(alive: ReadonlySet<string>): void {
    for (const peer of this.#peers.keys()) if (!alive.has(peer)) this.#peers.delete(peer)
  }
}
