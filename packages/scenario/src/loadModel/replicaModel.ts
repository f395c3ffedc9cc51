/** A model engine in virtual time, with a limited batch and a priority queue. */
import type { VirtualTime } from './virtualTime.js'

export interface ReplicaSpec {
  readonly id: string
  /** Requests that generate output at the same time. */
  readonly slots: number
  /** Time from a free slot to the first token, in milliseconds. */
  readonly prefillMs: number
  /** Inter-token latency, in milliseconds. */
  readonly betweenTokensMs: number
}

export interface ReplicaJob {
  /** Output tokens. */
  readonly tokens: number
  /** 0 is started last, 9 first. */
  readonly priority: number
  readonly onFirstToken: () => void
  readonly onDone: () => void
}

/**
 * A simulated replica.
 *
 * @example
 * const replica = ReplicaModel.create(time, spec)
 * replica.submit({ tokens: 100, priority: 5, onFirstToken, onDone })
 */
export class ReplicaModel {
  readonly #queue: ReplicaJob[] = []
  #running = 0
  /** Speed relative to the specification. */
  speed = 1

  private constructor(
    private readonly time: VirtualTime,
    readonly spec: ReplicaSpec,
  ) {}

  static create(time: VirtualTime, spec: ReplicaSpec): ReplicaModel {
    return new ReplicaModel(time, spec)
  }

  /** Requests running and waiting. */
  get load(): number {
    return this.#running + this.#queue.length
  }

  submit(job: ReplicaJob): void {
    if (this.#running < this.spec.slots) this.#run(job)
    else this.#enqueue(job)
  }

  #enqueue(job: ReplicaJob): void {
    const insertAt = this.#queue.findIndex(({ priority }) => priority < job.priority)
    this.#queue.splice(insertAt < 0 ? this.#queue.length : insertAt, 0, job)
  }

  #run(job: ReplicaJob): void {
    this.#running += 1
    const { prefillMs, betweenTokensMs } = this.spec
    const firstTokenMs = prefillMs / this.speed
    this.time.after(firstTokenMs, job.onFirstToken)
    this.time.after(firstTokenMs + (job.tokens * betweenTokensMs) / this.speed, () => {
      this.#running -= 1
      job.onDone()
      const next = this.#queue.shift()
      if (next) this.#run(next)
    })
  }
}
