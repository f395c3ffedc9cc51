/** Gathers the evidence of a run while it happens. */
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

/** What faults may wait for. */
export type Milestone = 'answers' | 'starts'

/**
 * Evidence so far, and waits for its growth.
 *
 * @example
 * const log = RunLog.create()
 * await log.reached('answers', 20)
 */
export class RunLog {
  readonly sent: SentRequest[] = []
  /** Callers' wishes as a trace keeps them. */
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

  static create(): RunLog {
    return new RunLog()
  }

  /** Marks the start of the traffic, from which traces count. */
  begin(): void {
    this.#startMs = Date.now()
  }

  addWish(wish: Omit<TraceEntry, 'atMs'>): void {
    this.trace.push({ atMs: Date.now() - this.#startMs, ...wish })
  }

  addSent(sent: SentRequest): void {
    this.sent.push(sent)
    if (sent.end === 'whole') this.#answers += 1
    this.#wake()
  }

  /** Takes in a start; a second one of the same run tells its finish. */
  addRun(run: StartedRun): void {
    const key = `${run.backend} ${run.requestId} ${run.atMs}`
    if (!this.#runs.has(key)) this.#starts += 1
    this.#runs.set(key, run)
    this.#wake()
  }

  /** Resolves once there are so many. */
  reached(milestone: Milestone, count: number): Promise<void> {
    return new Promise((wake) => {
      this.#waiters.push({ milestone, count, wake })
      this.#wake()
    })
  }

  get evidence(): Evidence {
    return { ...this, runs: [...this.#runs.values()] }
  }

  #wake(): void {
    const counts = { answers: this.#answers, starts: this.#starts }
    for (const waiter of this.#waiters) {
      if (counts[waiter.milestone] >= waiter.count) waiter.wake()
    }
  }
}

/** The present time as an event of a part. */
export function eventNow(part: string): PartEvent {
  return { part, atMs: Date.now() }
}
