/** Errors of the gateway itself that end one exchange or one turn of a loop. */
import { reportOf, type ErrorOwner } from '@wagtailway/core'
import type { Log } from './log.js'
import type { GatewayMetrics } from './metrics.js'

export interface FailureObserver {
  readonly log: Log
  readonly metrics: Pick<GatewayMetrics, 'failures'>
}

/**
 * Logs an error with its place and stack, and counts it.
 *
 * @param event `exchange_failed`, or `loop_failed` for work that goes on after it.
 *
 * @example
 * reportFailure(node.opts, 'exchange_failed', { work: 'request', id: 'r-1' }, err)
 */
export function reportFailure(
  { log, metrics }: FailureObserver,
  event: 'exchange_failed' | 'loop_failed',
  { work, id }: Pick<ErrorOwner, 'work' | 'id'>,
  err: unknown,
): void {
  const report = reportOf(err)
  metrics.failures.inc({ work, place: report.place })
  log(event, { work, id, ...report })
}
