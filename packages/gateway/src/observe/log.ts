/** Structured logs: one JSON line on standard output for each decision. */
import { createWriteStream } from 'node:fs'
import { Logger } from 'tslog'

/**
 * Maximum rate of log lines per second; excess lines are dropped, and one line reports
 * their number.
 */
const MAX_LINES_PER_SECOND = 150

/** Lines that may be written in one burst after a period without lines. */
const MAX_BURST_LINES = 400

/** Limit of the bytes buffered for a slow reader; above it, lines are dropped and counted. */
const MAX_BUFFERED_BYTES = 262_144

const STDOUT_FD = 1

type Fields = Readonly<Record<string, unknown>>

/** Writes one line: a decision and the values it was based on. */
export type Log = (event: string, fields: Fields) => void

/**
 * Creates the log of one process. It never blocks: lines that can't be written are
 * dropped, counted and reported.
 *
 * @example
 * const log = createLog('n1')
 * log('config_in_force', { version: 7, ageMs: 12 })
 */
export function createLog(node: string): Log {
  // An asynchronous stream, because `process.stdout` blocks when it is a pipe.
  const stdout = createWriteStream('', { fd: STDOUT_FD, autoClose: false })
  const logger = new Logger<Fields>({
    type: 'hidden',
    hideLogPositionForProduction: true,
    attachedTransports: [
      (line) => {
        stdout.write(`${JSON.stringify({ ...(line as Fields), _meta: undefined })}\n`)
      },
    ],
  })
  let tokens = MAX_BURST_LINES
  let refilledAtMs = performance.now()
  let dropped = 0
  return (event, fields) => {
    const nowMs = performance.now()
    tokens = Math.min(
      MAX_BURST_LINES,
      tokens + ((nowMs - refilledAtMs) / 1_000) * MAX_LINES_PER_SECOND,
    )
    refilledAtMs = nowMs
    if (tokens < 1 || stdout.writableLength > MAX_BUFFERED_BYTES) {
      dropped += 1
      return
    }
    tokens -= 1
    const t = new Date().toISOString()
    if (dropped > 0) {
      logger.warn({ t, node, event: 'log_lines_dropped', dropped })
      dropped = 0
    }
    logger.info({ t, node, event, ...fields })
  }
}
