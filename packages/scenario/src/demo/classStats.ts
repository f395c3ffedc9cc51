/** What the demo counts for each class of work. */
import { build, type Histogram } from 'hdr-histogram-js'
import type { ChatResult } from '../load/chatCaller.js'

/** Statistics of one class. */
export class ClassStats {
  readonly versions = new Map<string, number>()
  readonly refusals = new Map<string, number>()
  readonly firstToken: Histogram = build()
  readonly total: Histogram = build()
  sent = 0
  answered = 0
  wrong = 0
  costMicros = 0
  /** Sum of the true qualities of the answering versions. */
  qualitySum = 0

  static create(): ClassStats {
    return new ClassStats()
  }

  /** Counts one result; `totalMs` runs from the intended start. */
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
