/** Runs many propagation trials and formats the distribution of their times. */
import { percentile } from './percentiles.js'
import { SPREAD_FAULTS, spreadTrial, type SpreadTrial } from './spreadTrial.js'

export interface SpreadReportOptions {
  readonly nodes: number
  /** Number of trials, over all faults together. */
  readonly trials: number
  readonly seed: number
  readonly loss: number
}

/**
 * Maximum time from acceptance until a configuration is in force everywhere, in
 * milliseconds.
 */
export const MAX_PROPAGATION_MS = 13_000

/** Runs the trials, the faults in turn. */
export function spreadTrials(opts: SpreadReportOptions): SpreadTrial[] {
  return Array.from({ length: opts.trials }, (_, i) => {
    const fault = SPREAD_FAULTS[i % SPREAD_FAULTS.length] ?? 'none'
    return spreadTrial({ ...opts, fault, seed: opts.seed + i })
  })
}

/** The trials that violated a guarantee. */
export function violations(trials: readonly SpreadTrial[]): SpreadTrial[] {
  return trials.filter(
    (trial) =>
      trial.lastOldMs > MAX_PROPAGATION_MS ||
      trial.reverted > 0 ||
      trial.caughtUp < trial.running ||
      !Number.isFinite(trial.acceptedMs),
  )
}

/** Formats one line for each fault. */
export function formatSpread(trials: readonly SpreadTrial[]): string {
  const lines = SPREAD_FAULTS.map((fault) => {
    const faultTrials = trials.filter((trial) => trial.fault === fault)
    const violationCount = violations(faultTrials).length
    const columns = [
      fault.padEnd(16),
      String(faultTrials.length).padStart(6),
      formatPercentiles(faultTrials.map((trial) => trial.acceptedMs)),
      formatPercentiles(faultTrials.map((trial) => trial.heldMs)),
      formatPercentiles(faultTrials.map((trial) => trial.lastOldFromStoreMs)),
      formatPercentiles(faultTrials.map((trial) => trial.lastOldMs)),
      faultTrials
        .reduce((sum, trial) => sum + trial.refusedSeconds, 0)
        .toFixed(1)
        .padStart(9),
      String(violationCount).padStart(4),
    ]
    return columns.join('  ')
  })
  return [HEADER, ...lines].join('\n')
}

const HEADER = [
  'fault'.padEnd(16),
  'trials',
  'accepted s'.padStart(20),
  'all hold s'.padStart(20),
  'old after write s'.padStart(20),
  'old after accept s'.padStart(20),
  'refused s',
  ' bad',
].join('  ')

/** Median, 95th percentile and maximum, in seconds. */
function formatPercentiles(valuesMs: readonly number[]): string {
  return [0.5, 0.95, 1]
    .map((share) => (percentile(valuesMs, share) / 1_000).toFixed(2))
    .join('/')
    .padStart(20)
}
