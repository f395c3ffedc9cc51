/** Collects the evidence of a run while it is in progress. */
import type { BillingRecord } from '@wagtailway/core'
import type { TraceEntry } from '../trace/index.js'
import type {
  AcceptedConfig,
  AppliedChange,
  Evidence,
  PartEvent,
  RouterSample,
  SentRequest,
  StartedRun,
} from '../check/evidence.js'

/** Counters that a fault can wait for. */
export type Milestone = 'answers' | 'starts' | 'changes'

/**
 * Evidence collected so far; callers can wait until a counter reaches a value.
 *
 * @example
 * const log = RunLog.create()
 * await log.waitForCount('answers', 20)
 */
export class RunLog {
  readonly sent: SentRequest[] = []
  /** The callers' requests as trace entries. */
  readonly trace: TraceEntry[] = []
  readonly configs: AcceptedConfig[] = []
  readonly samples: RouterSample[] = []
  readonly leavings: PartEvent[] = []
  readonly stops: PartEvent[] = []
  readonly exits: PartEvent[] = []
  readonly changes: AppliedChange[] = []
  billed: readonly BillingRecord[] = []
  readonly #runs = new Map<string, StartedRun>()
  readonly #waiters: { milestone: Milestone; count: number; wake: () => void }[] = []
  #startMs = Date.now()
  #answers = 0
  #starts = 0
  #storedChanges = 0

  static create(): RunLog {
    return new RunLog()
  }

  /** Marks the start of the traffic, to which the times of trace entries are relative. */
  markTrafficStart(): void {
    this.#startMs = Date.now()
  }

  addTraceEntry(entry: Omit<TraceEntry, 'atMs'>): void {
    this.trace.push({ atMs: Date.now() - this.#startMs, ...entry })
  }

  addSent(sent: SentRequest): void {
    this.sent.push(sent)
    if (sent.end === 'whole') this.#answers += 1
    this.#wake()
  }

  /**
   * Records the start of a run; a second record of the same run reports that it finished.
   */
  addRun(run: StartedRun): void {
    const key = `${run.backend} ${run.requestId} ${run.atMs}`
    if (!this.#runs.has(key)) this.#starts += 1
    this.#runs.set(key, run)
    this.#wake()
  }

  /** Records that the platform has confirmed a change of an operator. */
  addStoredChange(): void {
    this.#storedChanges += 1
    this.#wake()
  }

  /** Resolves once the milestone's counter has reached `count`. */
  waitForCount(milestone: Milestone, count: number): Promise<void> {
    return new Promise((wake) => {
      this.#waiters.push({ milestone, count, wake })
      this.#wake()
    })
  }

  get evidence(): Evidence {
    return { ...this, runs: [...this.#runs.values()] }
  }

  #wake(): void {
    const counts = {
      answers: this.#answers,
      starts: this.#starts,
      changes: this.#storedChanges,
    }
    for (const waiter of this.#waiters) {
      if (counts[waiter.milestone] >= waiter.count) waiter.wake()
    }
  }
}

/** An event of a part at the current time. */
export function partEventNow(part: string): PartEvent {
  return { part, atMs: Date.now() }
}
