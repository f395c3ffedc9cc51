/** Structured logs: one JSON line on standard output for each decision. */
import { createWriteStream } from 'node:fs'
import { Logger } from 'tslog'

/** Lines a second that are written at most; more are counted and told in one line. */
const LINES_PER_SECOND = 150

/** Lines that may be written at once after a quiet time. */
const LINE_BURST = 400

/** Bytes that may wait for a slow reader; lines beyond are counted and dropped. */
const MAX_WAITING_BYTES = 262_144

const STDOUT = 1

type Fields = Readonly<Record<string, unknown>>

/** Writes one line: what was decided, and what it was decided on. */
export type Log = (event: string, fields: Fields) => void

/**
 * Creates the log of one process. Lines are dropped, counted and reported rather than
 * waited for.
 *
 * @example
 * const log = createLog('n1')
 * log('config_in_force', { version: 7, ageMs: 12 })
 */
export function createLog(node: string): Log {
  // An asynchronous stream: standard output itself blocks when it is a pipe.
  const out = createWriteStream('', { fd: STDOUT, autoClose: false })
  const logger = new Logger<Fields>({
    type: 'hidden',
    hideLogPositionForProduction: true,
    attachedTransports: [
      (line) => {
        out.write(`${JSON.stringify({ ...(line as Fields), _meta: undefined })}\n`)
      },
    ],
  })
  let tokens = LINE_BURST
  let filledAtMs = performance.now()
  let dropped = 0
  return (event, fields) => {
    const now = performance.now()
    tokens = Math.min(
      LINE_BURST,
      tokens + ((now - filledAtMs) / 1_000) * LINES_PER_SECOND,
    )
    filledAtMs = now
    if (tokens < 1 || out.writableLength > MAX_WAITING_BYTES) {
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
