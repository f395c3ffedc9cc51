/** Runs every cell of an experiment and evaluates its goals. */
import { seededRandom } from '@wagtailway/core'
import type { Cell, Experiment, Goal, MetricValues } from './experiment.js'
import { meanInterval, ratioInterval, type Interval } from './statistics.js'

/** All trials of one cell, in the order of the seeds. */
export interface CellResult {
  readonly cell: Cell
  readonly trials: readonly MetricValues[]
}

export interface GoalResult {
  readonly goal: Goal
  readonly workload: string
  readonly fault: string
  readonly value: Interval
  readonly isMet: boolean
}

export interface ExperimentResult {
  readonly experiment: Experiment
  readonly seeds: number
  readonly cells: readonly CellResult[]
  readonly goals: readonly GoalResult[]
}

/** Seed of the bootstrap, fixed so that repeated runs give the same result. */
const BOOTSTRAP_SEED = 20_011

/**
 * Runs an experiment over seeds 1 to `seeds`.
 *
 * @param onCell Called before each cell, to report progress.
 *
 * @example
 * const result = runExperiment(versionExperiment, 10)
 */
export function runExperiment(
  experiment: Experiment,
  seeds: number,
  onCell: (cell: Cell) => void = () => undefined,
): ExperimentResult {
  const cells = experiment.cells.map((cell) => {
    onCell(cell)
    const trials = Array.from({ length: seeds }, (_, i) => experiment.trial(cell, i + 1))
    return { cell, trials }
  })
  return { experiment, seeds, cells, goals: evaluateGoals(experiment.goals, cells) }
}

/**
 * Values of one metric in the order of the seeds; NaN where a trial didn't measure it.
 */
export function metricValues(result: CellResult, metric: string): number[] {
  return result.trials.map((measures) => measures[metric] ?? Number.NaN)
}

function evaluateGoals(
  goals: readonly Goal[],
  cells: readonly CellResult[],
): GoalResult[] {
  return goals.flatMap((goal) =>
    cells
      .filter(({ cell }) => cell.policy === goal.policy && appliesTo(goal, cell))
      .map((candidate) => evaluateGoal(goal, candidate, cells)),
  )
}

function appliesTo(goal: Goal, cell: Cell): boolean {
  const inWorkloads = goal.workloads?.includes(cell.workload) ?? true
  return inWorkloads && (goal.faults?.includes(cell.fault) ?? true)
}

function evaluateGoal(
  goal: Goal,
  candidate: CellResult,
  cells: readonly CellResult[],
): GoalResult {
  const { workload, fault } = candidate.cell
  const values = metricValues(candidate, goal.metric)
  const value =
    goal.baseline === undefined
      ? meanInterval(values)
      : ratioInterval(values, baselineValues(goal.baseline), seededRandom(BOOTSTRAP_SEED))
  const isMet =
    value.mean <= (goal.atMost ?? Number.POSITIVE_INFINITY) &&
    value.mean >= (goal.atLeast ?? Number.NEGATIVE_INFINITY)
  return { goal, workload, fault, value, isMet }

  function baselineValues(policy: string): number[] {
    const baselineResult = cells.find(
      ({ cell }) =>
        cell.policy === policy && cell.workload === workload && cell.fault === fault,
    )
    return baselineResult ? metricValues(baselineResult, goal.metric) : []
  }
}
