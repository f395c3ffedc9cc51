/** Many spread trials and their distribution. */
import { percentile } from './percentiles.js'
import { SPREAD_FAULTS, spreadTrial, type SpreadTrial } from './spreadTrial.js'

export interface SpreadReportOptions {
  readonly nodes: number
  /** Trials over all faults together. */
  readonly trials: number
  readonly seed: number
  readonly loss: number
}

/** Time within which an accepted configuration must be in force everywhere, in milliseconds. */
export const IN_FORCE_MS = 13_000

/** Runs the trials; each fault gets as many. */
export function spreadTrials(opts: SpreadReportOptions): SpreadTrial[] {
  return Array.from({ length: opts.trials }, (_, i) => {
    const fault = SPREAD_FAULTS[i % SPREAD_FAULTS.length] ?? 'none'
    return spreadTrial({ ...opts, fault, seed: opts.seed + i })
  })
}

/** Trials that broke what must hold. */
export function violations(trials: readonly SpreadTrial[]): SpreadTrial[] {
  return trials.filter(
    (trial) =>
      trial.lastOldMs > IN_FORCE_MS ||
      trial.reverted > 0 ||
      trial.caughtUp < trial.running ||
      !Number.isFinite(trial.acceptedMs),
  )
}

/** One line for each fault. */
export function formatSpread(trials: readonly SpreadTrial[]): string {
  const lines = SPREAD_FAULTS.map((fault) => {
    const own = trials.filter((trial) => trial.fault === fault)
    const bad = violations(own).length
    const columns = [
      fault.padEnd(16),
      String(own.length).padStart(6),
      spread(own.map((trial) => trial.acceptedMs)),
      spread(own.map((trial) => trial.heldMs)),
      spread(own.map((trial) => trial.lastOldFromStoreMs)),
      spread(own.map((trial) => trial.lastOldMs)),
      own
        .reduce((sum, trial) => sum + trial.refusedSeconds, 0)
        .toFixed(1)
        .padStart(9),
      String(bad).padStart(4),
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
function spread(valuesMs: readonly number[]): string {
  return [0.5, 0.95, 1]
    .map((share) => (percentile(valuesMs, share) / 1_000).toFixed(2))
    .join('/')
    .padStart(20)
}
