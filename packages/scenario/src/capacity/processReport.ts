/** Trials on real processes, and what the exchanges cost there. */
import { fileURLToPath } from 'node:url'
import { Deployment } from '../harness/deployment.js'
import { percentile } from './percentiles.js'
import { PROCESS_FAULTS, processTrial, type ProcessTrial } from './processTrial.js'

export interface ProcessReportOptions {
  readonly routers: number
  /** Trials of each fault. */
  readonly trials: number
  readonly seed: number
}

const DECLARATIONS = fileURLToPath(
  new URL('../../../../playground/haneul', import.meta.url),
)

/** Starts the deployment, runs all trials in turn and ends it. */
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

/** One line for each fault. */
export function formatProcesses(trials: readonly ProcessTrial[]): string {
  const lines = PROCESS_FAULTS.map((fault) => {
    const own = trials.filter((trial) => trial.fault === fault)
    return [
      fault.padEnd(16),
      String(own.length).padStart(6),
      spread(own.map(({ heldMs }) => heldMs)),
      spread(own.map(({ lastOldMs }) => lastOldMs)),
      String(own.reduce((sum, { reverted }) => sum + reverted, 0)).padStart(8),
    ].join('  ')
  })
  const head = ['fault'.padEnd(16), 'trials', 'all hold s'.padStart(18)]
  head.push('old after write s'.padStart(18), 'reverted')
  return [head.join('  '), ...lines].join('\n')
}

/** Median and maximum, in seconds. */
function spread(valuesMs: readonly number[]): string {
  return [0.5, 1]
    .map((share) => (percentile(valuesMs, share) / 1_000).toFixed(2))
    .join('/')
    .padStart(18)
}
