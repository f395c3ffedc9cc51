/** Structured logs: one JSON line for each change of state. */
import { LineWriter, openOutput, startTimer } from '@wagtailway/core'
import { Logger } from 'tslog'

const STDERR_FD = 2

export type Log = Logger<unknown>

export interface ProcessLog {
  readonly log: Log
  /** Tries to write the last lines, for at most `timeoutMs` milliseconds. */
  close(timeoutMs: number): Promise<boolean>
}

/**
 * Creates the logger of one node; lines go to standard error. Lines that can't be written are
 * dropped.
 *
 * @example
 * const { log, close } = createLog('n1')
 * log.info('configuration in force', { revision: 7 })
 * await close(200)
 */
export function createLog(node: string): ProcessLog {
  const writer = LineWriter.create({
    write: openOutput(STDERR_FD),
    startTimer,
    onDropped: () => undefined,
  })
  const log = new Logger<unknown>({
    name: node,
    type: 'hidden',
    attachedTransports: [
      (line) => {
        writer.add(JSON.stringify(line))
      },
    ],
  })
  return { log, close: (timeoutMs) => writer.close(timeoutMs) }
}
