/** How answers of each backend server turned out while a roll-out runs, at all instances. */
import { DecayingAverage } from '@wagtailway/core'

/** Counts of one server's answers, of which old ones have faded. */
export interface AnswerCounts {
  good: number
  bad: number
}

/** A measure this many times that of the old version is slow; bad versions reach eight. */
const SLOW_FACTOR = 4

/** Time constant in which a count fades, in milliseconds: a trial's evidence of some seconds. */
const MEMORY_MS = 8_000

/** Counts below this are forgotten. */
const LEAST_COUNT = 0.02

/** Weight of a new measurement of the old version's speed. */
const SPEED_WEIGHT = 0.1

/** Measures of speed below this are never slow, in milliseconds: timers are that coarse. */
const LEAST_SLOW_MS = 25

type Counts = ReadonlyMap<string, AnswerCounts>

/**
 * Own counts and those that other entry instances report.
 *
 * @example
 * evidence.note('s1', true)
 * evidence.total('s1') // { good: 1, bad: 0 }
 */
export class ServerEvidence {
  readonly #own = new Map<string, AnswerCounts>()
  readonly #peers = new Map<string, Counts>()
  readonly #speeds = new Map<string, DecayingAverage>()

  static create(): ServerEvidence {
    return new ServerEvidence()
  }

  get own(): Counts {
    return this.#own
  }

  note(serverId: string, isGood: boolean): void {
    const counts = this.#own.get(serverId) ?? { good: 0, bad: 0 }
    if (isGood) counts.good += 1
    else counts.bad += 1
    this.#own.set(serverId, counts)
  }

  /**
   * Whether a measurement is slow against what the old version needs for the same.
   *
   * @param what What is measured, such as the pause between events of one model.
   * @param isReference Whether the old version was measured.
   */
  isSlow(what: string, ms: number, isReference: boolean): boolean {
    const average = this.#speeds.get(what)
    if (isReference) {
      const kept = average ?? DecayingAverage.create(SPEED_WEIGHT)
      kept.add(ms)
      this.#speeds.set(what, kept)
      return false
    }
    const usual = average?.value
    return usual !== undefined && ms > LEAST_SLOW_MS && ms > usual * SLOW_FACTOR
  }

  /** Takes in all counts of another entry instance. */
  report(peer: string, counts: Counts): void {
    this.#peers.set(peer, counts)
  }

  total(serverId: string): AnswerCounts {
    const total = { good: 0, bad: 0 }
    for (const counts of [this.#own, ...this.#peers.values()]) {
      const found = counts.get(serverId)
      if (!found) continue
      total.good += found.good
      total.bad += found.bad
    }
    return total
  }

  /** Lets own counts fade, so that a good past doesn't hide a later fall. */
  fade(elapsedMs: number): void {
    const factor = Math.exp(-elapsedMs / MEMORY_MS)
    for (const [id, counts] of this.#own) {
      counts.good *= factor
      counts.bad *= factor
      if (counts.good + counts.bad < LEAST_COUNT) this.#own.delete(id)
    }
  }

  /** Forgets counts of other entry instances that are not among those heard lately. */
  keepPeers(alive: ReadonlySet<string>): void {
    for (const peer of this.#peers.keys()) if (!alive.has(peer)) this.#peers.delete(peer)
  }
}
