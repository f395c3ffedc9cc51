/** Decides how often an entry instance sends reports, and to which others. */
import { SMALL_FLEET_SIZE } from '../feed/pollSchedule.js'

/** Minimum interval between two reports, in milliseconds. */
const MIN_REPORT_INTERVAL_MS = 300

/**
 * Interval between two reports for each instance that receives them, in milliseconds;
 * limits the cost of sending in a large fleet.
 */
const REPORT_INTERVAL_MS_PER_PEER = 8

/** In a large fleet, only every third report is also sent to other zones. */
const OTHER_ZONES_EVERY = 3

/** Receivers of a report: all known instances, or only those of the own zone. */
export type ReportScope = 'all' | 'zone'

/** Interval until the next report, in milliseconds. */
export function reportIntervalMs(receiverCount: number): number {
  return Math.max(MIN_REPORT_INTERVAL_MS, receiverCount * REPORT_INTERVAL_MS_PER_PEER)
}

/**
 * Receivers of the report with this number, counted from the start.
 *
 * @example
 * reportScope(74, 3) // 'all'
 * reportScope(74, 4) // 'zone'
 */
export function reportScope(receiverCount: number, reportNumber: number): ReportScope {
  const includesOtherZones =
    receiverCount <= SMALL_FLEET_SIZE || reportNumber % OTHER_ZONES_EVERY === 0
  return includesOtherZones ? 'all' : 'zone'
}

/** Longest time between two reports to one instance, that of another zone. */
export function longestReportIntervalMs(receiverCount: number): number {
  const every = receiverCount <= SMALL_FLEET_SIZE ? 1 : OTHER_ZONES_EVERY
  return reportIntervalMs(receiverCount) * every
}

/** Least age up to which reports repeat news, in milliseconds. */
const MIN_REPEATED_NEWS_MS = 1_500

/** Share of the longest interval beyond it for which reports repeat news. */
const REPEATED_NEWS_FACTOR = 1.5

/**
 * Age up to which each report repeats what happened, in milliseconds: every instance gets
 * a report within that time, also one of another zone.
 *
 * @example
 * repeatedNewsMs(7) // 1500
 */
export function repeatedNewsMs(receiverCount: number): number {
  const intervalMs = longestReportIntervalMs(receiverCount)
  return Math.max(MIN_REPEATED_NEWS_MS, intervalMs * REPEATED_NEWS_FACTOR)
}
