/** Structured logs: one JSON line for each change of state. */
import { Logger } from 'tslog'

export type Log = Logger<unknown>

/**
 * Creates the logger of one node; lines go to standard error.
 *
 * @example
 * const log = createLog('n1')
 * log.info('configuration in force', { revision: 7 })
 */
export function createLog(node: string): Log {
  return new Logger({
    name: node,
    type: 'hidden',
    attachedTransports: [
      (line) => {
        process.stderr.write(`${JSON.stringify(line)}\n`)
      },
    ],
  })
}
