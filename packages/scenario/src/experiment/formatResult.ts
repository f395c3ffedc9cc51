/** Formats the result of an experiment as tables. */
import type { MetricSpec } from './experiment.js'
import {
  metricValues,
  type CellResult,
  type ExperimentResult,
  type GoalResult,
} from './runExperiment.js'
import { meanInterval, type Interval } from './statistics.js'

const COLUMN_GAP = 2
const GOAL_DIGITS = 3

/**
 * Formats the metrics of every cell and whether each goal is met.
 *
 * @example
 * process.stdout.write(formatResult(result))
 */
export function formatResult(result: ExperimentResult): string {
  const { experiment, seeds } = result
  const header = ['workload', 'fault', 'policy', ...experiment.metrics.map((m) => m.name)]
  const rows = result.cells.map((cell) => cellRow(cell, experiment.metrics))
  const goals = result.goals.map(goalRow)
  return [
    `${experiment.name}: ${experiment.question}`,
    `${seeds} seeds; mean and 95 % interval`,
    '',
    ...align([header, ...rows]),
    '',
    ...align(goals),
    '',
  ].join('\n')
}

function cellRow({ cell, trials }: CellResult, metrics: readonly MetricSpec[]): string[] {
  const values = metrics.map(({ name, digits }) =>
    formatInterval(meanInterval(metricValues({ cell, trials }, name)), digits),
  )
  return [cell.workload, cell.fault, cell.policy, ...values]
}

function goalRow({ goal, workload, fault, value, isMet }: GoalResult): string[] {
  const bound = goal.atMost ?? goal.atLeast ?? 0
  const comparison = goal.atMost === undefined ? '>=' : '<='
  const divisor = goal.baseline === undefined ? '' : ` / ${goal.baseline}`
  return [
    isMet ? 'met' : 'MISSED',
    goal.name,
    workload,
    fault,
    `${goal.policy}${divisor}`,
    `${formatInterval(value, GOAL_DIGITS)} ${comparison} ${bound}`,
  ]
}

function formatInterval({ mean, low, high }: Interval, digits: number): string {
  return `${mean.toFixed(digits)} [${low.toFixed(digits)}, ${high.toFixed(digits)}]`
}

function align(rows: readonly (readonly string[])[]): string[] {
  const widths = (rows[0] ?? []).map((_, column) =>
    Math.max(...rows.map((cells) => cells[column]?.length ?? 0)),
  )
  return rows.map((cells) =>
    cells
      .map((cell, column) => cell.padEnd((widths[column] ?? 0) + COLUMN_GAP))
      .join('')
      .trimEnd(),
  )
}
