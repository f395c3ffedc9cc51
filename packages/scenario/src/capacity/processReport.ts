/** Runs configuration changes on real processes and formats their times. */
import { fileURLToPath } from 'node:url'
import { Deployment } from '../harness/deployment.js'
import { percentile } from './percentiles.js'
import { PROCESS_FAULTS, processTrial, type ProcessTrial } from './processTrial.js'

export interface ProcessReportOptions {
  readonly routers: number
  /** Number of trials of each fault. */
  readonly trials: number
  readonly seed: number
}

const DECLARATIONS = fileURLToPath(
  new URL('../../../../playground/haneul', import.meta.url),
)

/** Starts a deployment, runs all trials in sequence and stops it. */
export async function processTrials(opts: ProcessReportOptions): Promise<ProcessTrial[]> {
  const deployment = await Deployment.start({
    ...opts,
    declarations: DECLARATIONS,
    engines: [],
    services: [],
  })
  try {
    const trials: ProcessTrial[] = []
    for (let i = 0; i < opts.trials * PROCESS_FAULTS.length; i++) {
      const fault = PROCESS_FAULTS[i % PROCESS_FAULTS.length] ?? 'none'
      trials.push(await processTrial(deployment, fault, i))
    }
    return trials
  } finally {
    await deployment.close()
  }
}

/** Formats one line for each fault. */
export function formatProcesses(trials: readonly ProcessTrial[]): string {
  const lines = PROCESS_FAULTS.map((fault) => {
    const faultTrials = trials.filter((trial) => trial.fault === fault)
    return [
      fault.padEnd(16),
      String(faultTrials.length).padStart(6),
      formatMedianAndMax(faultTrials.map(({ heldMs }) => heldMs)),
      formatMedianAndMax(faultTrials.map(({ lastOldMs }) => lastOldMs)),
      String(faultTrials.reduce((sum, { reverted }) => sum + reverted, 0)).padStart(8),
    ].join('  ')
  })
  const header = ['fault'.padEnd(16), 'trials', 'all hold s'.padStart(18)]
  header.push('old after write s'.padStart(18), 'reverted')
  return [header.join('  '), ...lines].join('\n')
}

/** Median and maximum, in seconds. */
function formatMedianAndMax(valuesMs: readonly number[]): string {
  return [0.5, 1]
    .map((share) => (percentile(valuesMs, share) / 1_000).toFixed(2))
    .join('/')
    .padStart(18)
}
