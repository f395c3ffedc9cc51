/** Writes log lines to an output that may be slow, full or gone, without ever failing. */
import type { StartTimer } from '../csp/timers.js'
import type { WriteBytes } from './openOutput.js'

/** Limit of the bytes that wait to be written; above it, lines are dropped. */
const MAX_QUEUED_BYTES = 262_144

/** Further bytes that may wait if they are of lines that must not be lost beside others. */
const RESERVED_BYTES = 65_536

/** Queued bytes from which a report of lost lines may not find room. */
const MAX_REPORTING_BYTES = MAX_QUEUED_BYTES / 2

/** First and longest pause before a failed write is tried again, in milliseconds. */
const FIRST_RETRY_MS = 20
const MAX_RETRY_MS = 1_000

export interface LineWriterOptions {
  /** Rejects with an error that has a `code`, such as EAGAIN. */
  readonly write: WriteBytes
  readonly startTimer: StartTimer
  /** Called for each line that is dropped. */
  readonly onDropped: () => void
}

/** Lines lost since the last report. */
export interface OutputGap {
  readonly dropped: number
  /** Code of the last error of the output, such as EPIPE, if there was one. */
  readonly err: string | undefined
}

/**
 * Queue of lines for one output. A line is written whole or not at all: the rest of a partly
 * written one goes first, however long it takes.
 *
 * @example
 * const writer = LineWriter.create({ write: openOutput(1), startTimer, onDropped })
 * writer.add('{"event":"start"}')
 * await writer.close(200)
 */
export class LineWriter {
  #queued: Buffer[] = []
  #queuedBytes = 0
  /** Bytes taken from the queue that are not yet written. */
  #current: Buffer | undefined
  #isWriting = false
  #cancelRetry: (() => void) | undefined
  #retryMs = FIRST_RETRY_MS
  #dropped = 0
  #err: string | undefined
  #isClosed = false
  #onIdle: () => void = () => undefined

  private constructor(private readonly opts: LineWriterOptions) {}

  static create(opts: LineWriterOptions): LineWriter {
    return new LineWriter(opts)
  }

  /** Whether a report of lost lines would be at risk of being lost as well. */
  get isBlocked(): boolean {
    return this.#cancelRetry !== undefined || this.#queuedBytes > MAX_REPORTING_BYTES
  }

  /**
   * Adds a line, without its line feed. Returns false if the line is dropped.
   *
   * @param isReserved Whether it may use the room that is kept for such lines.
   */
  add(line: string, { isReserved = false } = {}): boolean {
    const bytes = Buffer.from(`${line}\n`)
    const maxBytes = MAX_QUEUED_BYTES + (isReserved ? RESERVED_BYTES : 0)
    if (this.#isClosed || this.#queuedBytes + bytes.length > maxBytes) {
      this.#dropped += 1
      this.opts.onDropped()
      return false
    }
    this.#queued.push(bytes)
    this.#queuedBytes += bytes.length
    this.#pump()
    return true
  }

  /** Returns what was lost since the last call, and begins anew. */
  takeGap(): OutputGap {
    const gap = { dropped: this.#dropped, err: this.#err }
    this.#dropped = 0
    this.#err = undefined
    return gap
  }

  /**
   * Tries to write what is queued, for at most `timeoutMs` milliseconds. Resolves to whether all
   * of it was written.
   */
  async close(timeoutMs: number): Promise<boolean> {
    this.#isClosed = true
    this.#cancelRetry?.()
    this.#cancelRetry = undefined
    this.#retryMs = FIRST_RETRY_MS
    this.#pump()
    if (this.#isIdle) return true
    return new Promise<boolean>((resolve) => {
      const cancel = this.opts.startTimer(timeoutMs, () => {
        this.#cancelRetry?.()
        resolve(false)
      })
      this.#onIdle = () => {
        cancel()
        resolve(true)
      }
    })
  }

  get #isIdle(): boolean {
    return this.#current === undefined && this.#queued.length === 0
  }

  #pump(): void {
    if (this.#isWriting || this.#cancelRetry) return
    if (!this.#current) {
      if (this.#queued.length === 0) {
        this.#onIdle()
        return
      }
      this.#current = Buffer.concat(this.#queued)
      this.#queued = []
    }
    this.#isWriting = true
    this.opts.write(this.#current).then(
      (count) => {
        this.#isWriting = false
        this.#advance(count)
      },
      (err: unknown) => {
        this.#isWriting = false
        this.#err = errorCode(err)
        this.#retryLater()
      },
    )
  }

  #advance(count: number): void {
    if (count === 0) {
      this.#retryLater()
      return
    }
    this.#retryMs = FIRST_RETRY_MS
    if (this.#dropped === 0) this.#err = undefined
    this.#queuedBytes -= count
    const rest = this.#current?.subarray(count)
    this.#current = rest && rest.length > 0 ? rest : undefined
    this.#pump()
  }

  #retryLater(): void {
    this.#cancelRetry = this.opts.startTimer(this.#retryMs, () => {
      this.#cancelRetry = undefined
      this.#pump()
    })
    this.#retryMs = Math.min(MAX_RETRY_MS, this.#retryMs * 2)
  }
}

function errorCode(err: unknown): string {
  return err instanceof Error && 'code' in err ? String(err.code) : String(err)
}
