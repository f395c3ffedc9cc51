/** Records the decisions about each request, for operators who trace its routing. */
import type { Clock } from '@wagtailway/core'

/** One recorded step of a request. */
export interface DecisionEvent {
  /** Time since the request began, in milliseconds. */
  readonly atMs: number
  readonly what: string
}

export interface DecisionStart {
  readonly requestId: string
  readonly node: string
  readonly class: string
  /** Configuration revision in force when the request began. */
  readonly revision: number
}

/**
 * The decisions about one request.
 *
 * @example
 * decision.note('sent to e1 (z1) for summariser@small')
 */
export class Decision {
  readonly events: DecisionEvent[] = []
  outcome = 'in progress'
  readonly #startMs: number

  private constructor(
    readonly start: DecisionStart,
    private readonly clock: Clock,
  ) {
    this.#startMs = clock()
  }

  static create(start: DecisionStart, clock: Clock): Decision {
    return new Decision(start, clock)
  }

  note(what: string): void {
    this.events.push({ atMs: this.clock() - this.#startMs, what })
  }

  toJSON(): Record<string, unknown> {
    return { ...this.start, outcome: this.outcome, events: this.events }
  }
}

/**
 * The decisions about the latest requests of this instance; older ones are evicted.
 *
 * @example
 * const decisions = Decisions.create({ capacity: 1_000, clock: monotonicClock })
 * decisions.begin({ requestId, node, class: 'kebele/check', revision: 7 }).note('admitted')
 */
export class Decisions {
  readonly #byId = new Map<string, Decision>()

  private constructor(private readonly opts: { capacity: number; clock: Clock }) {}

  static create(opts: { capacity: number; clock: Clock }): Decisions {
    return new Decisions(opts)
  }

  /** Starts the record of a request; evicts the oldest one if the capacity is exceeded. */
  begin(start: DecisionStart): Decision {
    const decision = Decision.create(start, this.opts.clock)
    this.#byId.set(start.requestId, decision)
    if (this.#byId.size > this.opts.capacity) {
      // A Map iterates in insertion order.
      const [oldest] = this.#byId.keys()
      if (oldest !== undefined) this.#byId.delete(oldest)
    }
    return decision
  }

  find(requestId: string): Decision | undefined {
    return this.#byId.get(requestId)
  }
}
