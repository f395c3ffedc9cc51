/** Prints a demo report as a table. */
import type { ClassStats } from './classStats.js'
import type { DemoReport } from './runDemo.js'

const MICROS_PER_UNIT = 1_000_000
const COLUMNS = [26, 6, 9, 34, 11, 8, 18, 18, 22]
const HEADINGS = [
  'class',
  'sent',
  'answered',
  'versions',
  'cost',
  'quality',
  'first token p50/p95',
  'total p50/p95 ms',
  'refusals',
]

/**
 * Formats a report; the last line tells what was found at both ends.
 *
 * @example
 * process.stdout.write(formatReport(report))
 */
export function formatReport(report: DemoReport): string {
  const rows = [...report.classes].map(([key, stats]) => row(key, stats))
  const table = [HEADINGS, ...rows].map(formatRow)
  return [`${report.name}:`, ...table, summary(report), ''].join('\n')
}

/** Whether nothing was wrong, lost, doubled or unbilled. */
export function isClean(report: DemoReport): boolean {
  const wrong = [...report.classes.values()].some(
    ({ wrong, refusals }) => wrong > 0 || refusals.size > 0,
  )
  const lists = [
    report.unbilled,
    report.duplicated,
    report.unknownToBackends,
    report.ranTwice,
  ]
  return !wrong && lists.every((list) => list.length === 0)
}

function row(key: string, stats: ClassStats): string[] {
  const answered = Math.max(1, stats.answered)
  return [
    key,
    String(stats.sent),
    String(stats.answered),
    shares(stats.versions, answered),
    (stats.costMicros / MICROS_PER_UNIT).toFixed(4),
    stats.qualitySum > 0 ? (stats.qualitySum / answered).toFixed(3) : '-',
    stats.firstToken.totalCount > 0 ? percentiles(stats.firstToken) : '-',
    percentiles(stats.total),
    [...stats.refusals].map(([reason, count]) => `${reason} ${count}`).join(', ') || '-',
  ]
}

function shares(versions: ReadonlyMap<string, number>, total: number): string {
  return [...versions]
    .map(([version, count]) => `${version} ${Math.round((count / total) * 100)}%`)
    .join(', ')
}

function percentiles(histogram: ClassStats['total']): string {
  return `${histogram.getValueAtPercentile(50)}/${histogram.getValueAtPercentile(95)}`
}

function formatRow(cells: readonly string[]): string {
  return cells
    .map((cell, i) => cell.padEnd(COLUMNS[i] ?? 0))
    .join(' ')
    .trimEnd()
}

function summary(report: DemoReport): string {
  const wrong = [...report.classes.values()].reduce((sum, s) => sum + s.wrong, 0)
  return (
    `billed ${report.billed}, service calls ${report.serviceAnswers}, wrong ${wrong}, unbilled ${report.unbilled.length}, ` +
    `billed twice ${report.duplicated.length}, not run by a backend server ` +
    `${report.unknownToBackends.length}, run twice ${report.ranTwice.length}`
  )
}
