/** Statistics that the demo keeps for each class of work. */
import { build, type Histogram } from 'hdr-histogram-js'
import type { ChatResult } from '../load/chatCaller.js'

/** Result counts, costs and latencies (in milliseconds) of one class. */
export class ClassStats {
  readonly versions = new Map<string, number>()
  readonly refusals = new Map<string, number>()
  readonly firstToken: Histogram = build()
  readonly total: Histogram = build()
  sent = 0
  answered = 0
  wrong = 0
  costMicros = 0
  /** Sum over all answers of the true quality of the version that answered. */
  qualitySum = 0

  static create(): ClassStats {
    return new ClassStats()
  }

  /** Adds one result; `totalMs` is measured from the request's intended start. */
  add(result: ChatResult, totalMs: number, stream: boolean, quality: number): void {
    this.sent += 1
    if (result.status !== 200) {
      increment(this.refusals, result.refusal)
      return
    }
    if (!result.whole) {
      this.wrong += 1
      return
    }
    this.answered += 1
    this.qualitySum += quality
    increment(this.versions, result.versionKey)
    this.total.recordValue(Math.max(1, Math.round(totalMs)))
    if (stream) this.firstToken.recordValue(Math.max(1, Math.round(result.firstTokenMs)))
  }
}

function increment(counts: Map<string, number>, key: string): void {
  counts.set(key, (counts.get(key) ?? 0) + 1)
}
