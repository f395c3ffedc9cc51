/** Structured logs: one JSON line for each change of state. */
import { LineWriter, openOutput, startTimer } from '@wagtailway/core'
import { Logger } from 'tslog'

const STDERR_FD = 2

export type Log = Logger<unknown>

/**
 * Creates the logger of one node; lines go to standard error. Lines that can't be written are
 * dropped.
 *
 * @example
 * const log = createLog('n1')
 * log.info('configuration in force', { revision: 7 })
 */
export function createLog(node: string): Log {
  const writer = LineWriter.create({
    write: openOutput(STDERR_FD),
    startTimer,
    onDropped: () => undefined,
  })
  return new Logger({
    name: node,
    type: 'hidden',
    attachedTransports: [
      (line) => {
        writer.add(JSON.stringify(line))
      },
    ],
  })
}
