/**
 * Experiments: named policies over workloads, faults and seeds, in virtual time.
 *
 * Every policy sees the same workload, fault and seed, so that baselines and
 * candidates of one run differ by nothing but the policy.
 */

/** What one trial measured, by metric. */
export type Measures = Readonly<Record<string, number>>

export interface MetricSpec {
  readonly name: string
  /** Decimals in tables. */
  readonly digits: number
  /** Title of the metric's plot; no plot if absent. */
  readonly plotTitle?: string
}

/** A bound that the candidate policy must keep. */
export interface Goal {
  readonly name: string
  readonly policy: string
  readonly metric: string
  /** Policy whose value divides the candidate's; the bound is on the value itself if absent. */
  readonly baseline?: string
  readonly atMost?: number
  readonly atLeast?: number
  /** Workloads that the goal holds for; all if absent. */
  readonly workloads?: readonly string[]
  /** Faults that the goal holds for; all if absent. */
  readonly faults?: readonly string[]
}

/** One cell of the run, with the functions and data that its names stand for. */
export interface Trial<P, W, F> {
  readonly policy: P
  readonly workload: W
  readonly fault: F
  readonly seed: number
}

export interface ExperimentSpec<P, W, F> {
  readonly name: string
  /** What the experiment answers, in one sentence. */
  readonly question: string
  readonly policies: Readonly<Record<string, P>>
  readonly workloads: Readonly<Record<string, W>>
  readonly faults: Readonly<Record<string, F>>
  readonly metrics: readonly MetricSpec[]
  readonly goals: readonly Goal[]
  readonly trial: (trial: Trial<P, W, F>) => Measures
}

/** Names of one cell of the run. */
export interface Cell {
  readonly policy: string
  readonly workload: string
  readonly fault: string
}

/** An experiment whose types are hidden behind names. */
export interface Experiment {
  readonly name: string
  readonly question: string
  readonly cells: readonly Cell[]
  readonly metrics: readonly MetricSpec[]
  readonly goals: readonly Goal[]
  readonly trial: (cell: Cell, seed: number) => Measures
}

/**
 * Defines an experiment.
 *
 * @example
 * const rollouts = defineExperiment({ name: 'rollouts', question, policies, workloads,
 *   faults, metrics, goals, trial: ({ policy, workload, fault, seed }) => ({ exposed: 3 }) })
 */
export function defineExperiment<P, W, F>(spec: ExperimentSpec<P, W, F>): Experiment {
  const { name, question, metrics, goals } = spec
  const cells = Object.keys(spec.workloads).flatMap((workload) =>
    Object.keys(spec.faults).flatMap((fault) =>
      Object.keys(spec.policies).map((policy) => ({ policy, workload, fault })),
    ),
  )
  return { name, question, cells, metrics, goals, trial }

  function trial(cell: Cell, seed: number): Measures {
    return spec.trial({
      policy: named(spec.policies, cell.policy),
      workload: named(spec.workloads, cell.workload),
      fault: named(spec.faults, cell.fault),
      seed,
    })
  }
}

function named<T>(values: Readonly<Record<string, T>>, name: string): T {
  const value = values[name]
  if (value === undefined) throw new Error(`The experiment has nothing named "${name}".`)
  return value
}
