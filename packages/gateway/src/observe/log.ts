/** Structured logs: one JSON line on standard output for each decision. */
import { LineWriter, openOutput, startTimer } from '@wagtailway/core'
import { Logger } from 'tslog'

/**
 * Maximum rate of log lines per second; excess lines are dropped, and one line reports
 * their number.
 */
const MAX_LINES_PER_SECOND = 150

/** Lines that may be written in one burst after a period without lines. */
const MAX_BURST_LINES = 400

/**
 * Lines about errors per second, beside the rate and after a burst: what a flood of requests
 * writes must not hide them.
 */
const ERROR_LINES_PER_SECOND = 5
const ERROR_BURST_LINES = 40

/** Events of errors of the program itself; tests and the soak fail on each of them. */
export const ERROR_EVENTS: ReadonlySet<string> = new Set([
  'unforeseen_error',
  'exchange_failed',
  'loop_failed',
  'late_error',
])

/** Events of the end of a process, which has each of them once; they are always written. */
const END_EVENTS: ReadonlySet<string> = new Set([
  'leaving',
  'answers_cut',
  'stop',
  'exit',
])

const STDOUT_FD = 1

type Fields = Readonly<Record<string, unknown>>

/** Writes one line: a decision and the values it was based on. */
export type Log = (event: string, fields: Fields) => void

/** An error with its stack, for a line about one that should not have happened. */
export function describeError(err: unknown): string {
  return err instanceof Error ? (err.stack ?? err.message) : String(err)
}

/** Why a line was dropped: too many lines, or an output that does not take them. */
export type DropReason = 'rate' | 'output'

export interface ProcessLog {
  readonly log: Log
  /**
   * Tries to write the last lines, for at most `timeoutMs` milliseconds; resolves to whether
   * all are written.
   */
  close(timeoutMs: number): Promise<boolean>
}

/**
 * Creates the log of one process. It never blocks and never fails: lines that can't be
 * written are dropped, counted and reported once the output takes lines again.
 *
 * @param onDropped Called for each line that is dropped.
 *
 * @example
 * const { log, close } = createLog('n1', (reason) => dropped.inc({ reason }))
 * log('config_in_force', { version: 7, ageMs: 12 })
 * await close(200)
 */
export function createLog(
  node: string,
  onDropped: (reason: DropReason) => void,
): ProcessLog {
  const writer = LineWriter.create({
    write: openOutput(STDOUT_FD),
    startTimer,
    onDropped: () => {
      onDropped('output')
    },
  })
  const logger = new Logger<Fields>({
    type: 'hidden',
    hideLogPositionForProduction: true,
    attachedTransports: [
      (line) => {
        const fields = { ...(line as Fields), _meta: undefined }
        writer.add(JSON.stringify(fields), { isReserved: isReserved(fields) })
      },
    ],
  })
  const lines = TokenBucket.create(MAX_LINES_PER_SECOND, MAX_BURST_LINES)
  const errorLines = TokenBucket.create(ERROR_LINES_PER_SECOND, ERROR_BURST_LINES)
  let droppedByRate = 0
  const reportDropped = (t: string): void => {
    const { dropped, err } = writer.takeGap()
    if (droppedByRate + dropped === 0) return
    const event = 'log_lines_dropped'
    logger.warn({ t, node, event, dropped: droppedByRate + dropped, err })
    droppedByRate = 0
  }
  const log: Log = (event, fields) => {
    const nowMs = performance.now()
    const isWritten =
      lines.tryTake(nowMs) ||
      END_EVENTS.has(event) ||
      (ERROR_EVENTS.has(event) && errorLines.tryTake(nowMs))
    if (!isWritten) {
      droppedByRate += 1
      onDropped('rate')
      return
    }
    const t = new Date().toISOString()
    if (!writer.isBlocked) reportDropped(t)
    logger.info({ t, node, event, ...fields })
  }
  return { log, close: (timeoutMs) => writer.close(timeoutMs) }
}

function isReserved({ event }: Fields): boolean {
  return typeof event === 'string' && (END_EVENTS.has(event) || ERROR_EVENTS.has(event))
}

/** Allowance of lines that grows with time up to a burst. */
class TokenBucket {
  #tokens: number
  #refilledAtMs = performance.now()

  private constructor(
    private readonly perSecond: number,
    private readonly burst: number,
  ) {
    this.#tokens = burst
  }

  static create(perSecond: number, burst: number): TokenBucket {
    return new TokenBucket(perSecond, burst)
  }

  tryTake(nowMs: number): boolean {
    const earned = ((nowMs - this.#refilledAtMs) / 1_000) * this.perSecond
    this.#tokens = Math.min(this.burst, this.#tokens + earned)
    this.#refilledAtMs = nowMs
    if (this.#tokens < 1) return false
    this.#tokens -= 1
    return true
  }
}
