/**
 * Experiments: named policies over workloads, faults and seeds, in virtual time.
 *
 * Every policy runs with the same workload, fault and seed, so that the baselines and
 * the candidate of one run differ only in the policy.
 */

/** Values measured in one trial, by metric. */
export type MetricValues = Readonly<Record<string, number>>

export interface MetricSpec {
  readonly name: string
  /** Number of decimals in tables. */
  readonly digits: number
  /** Title of the metric's plot; the metric isn't plotted if absent. */
  readonly plotTitle?: string
}

/** A bound that a metric of the candidate policy must meet. */
export interface Goal {
  readonly name: string
  readonly policy: string
  readonly metric: string
  /**
   * Policy whose value the candidate's is divided by; if absent, the bound applies to the
   * value itself.
   */
  readonly baseline?: string
  readonly atMost?: number
  readonly atLeast?: number
  /** Workloads that the goal applies to; all if absent. */
  readonly workloads?: readonly string[]
  /** Faults that the goal applies to; all if absent. */
  readonly faults?: readonly string[]
}

/** One cell of the run for one seed, with its names resolved to functions and data. */
export interface Trial<P, W, F> {
  readonly policy: P
  readonly workload: W
  readonly fault: F
  readonly seed: number
}

export interface ExperimentSpec<P, W, F> {
  readonly name: string
  /** Question that the experiment answers, in one sentence. */
  readonly question: string
  readonly policies: Readonly<Record<string, P>>
  readonly workloads: Readonly<Record<string, W>>
  readonly faults: Readonly<Record<string, F>>
  readonly metrics: readonly MetricSpec[]
  readonly goals: readonly Goal[]
  readonly trial: (trial: Trial<P, W, F>) => MetricValues
}

/** One combination of policy, workload and fault, by name. */
export interface Cell {
  readonly policy: string
  readonly workload: string
  readonly fault: string
}

/** An experiment that is run by names, without its type parameters. */
export interface Experiment {
  readonly name: string
  readonly question: string
  readonly cells: readonly Cell[]
  readonly metrics: readonly MetricSpec[]
  readonly goals: readonly Goal[]
  readonly trial: (cell: Cell, seed: number) => MetricValues
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

  function trial(cell: Cell, seed: number): MetricValues {
    return spec.trial({
      policy: valueNamed(spec.policies, cell.policy),
      workload: valueNamed(spec.workloads, cell.workload),
      fault: valueNamed(spec.faults, cell.fault),
      seed,
    })
  }
}

function valueNamed<T>(values: Readonly<Record<string, T>>, name: string): T {
  const value = values[name]
  if (value === undefined) throw new Error(`The experiment has nothing named "${name}".`)
  return value
}
