/** Command line of `wagtailway-experiment`. */
import { mkdir, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { measureDecisions } from './bench/decisionBench.js'
import { measureEvaluation } from './bench/rolloutBench.js'
import { EXPERIMENTS } from './experiments.js'
import { formatResult } from './formatResult.js'
import { runLiveRollout } from './live/liveRollout.js'
import { plotResult } from './plotResult.js'
import { runExperiment } from './runExperiment.js'
import type { Interval } from './statistics.js'

/** Numbers of epochs with evidence to measure: 4 hours and 1 day. */
const EVALUATED_EPOCHS = [480, 2_880]

/** Runs the command; the exit code is 1 if a goal was missed. */
export async function run(): Promise<void> {
  await yargs(hideBin(process.argv))
    .scriptName('wagtailway-experiment')
    .env('WAGTAILWAY')
    .strict()
    .command('list', 'Lists the experiments', {}, () => {
      for (const { name, question } of EXPERIMENTS) {
        process.stdout.write(`${name}: ${question}\n`)
      }
    })
    .command(
      'run <name>',
      'Runs an experiment in virtual time',
      (args) =>
        args
          .positional('name', {
            type: 'string',
            demandOption: true,
            choices: EXPERIMENTS.map(({ name }) => name),
          })
          .option('seeds', { type: 'number', default: 10, describe: 'Seeds 1 to this' })
          .option('plots', {
            type: 'string',
            describe: 'Folder that receives the plots',
          }),
      ({ name, seeds, plots }) => runNamed(name, seeds, plots),
    )
    .command('bench', 'Measures the processor time of decisions', {}, () => {
      for (const { name, micros } of measureDecisions()) printCost(name, micros)
      for (const epochs of EVALUATED_EPOCHS) {
        const name = `roll-out judged, one class, ${epochs} epochs`
        printCost(name, measureEvaluation(epochs))
      }
    })
    .command(
      'live-rollout',
      'Turns a version bad under live traffic, on real processes',
      (args) =>
        args
          .option('routers', { type: 'number', default: 3 })
          .option('rate', { type: 'number', default: 60, describe: 'Requests a second' })
          .option('seconds', { type: 'number', default: 60 })
          .option('seed', { type: 'number', default: 1 }),
      async ({ routers, rate, seconds, seed }) => {
        const opts = { routers, ratePerSecond: rate, seconds, seed }
        const report = await runLiveRollout(opts)
        process.stdout.write(`${JSON.stringify(report, undefined, 2)}\n`)
        const isSafe = report.withdrawnAt !== undefined
        process.exitCode = isSafe && report.exposedAfterWithdrawal === 0 ? 0 : 1
      },
    )
    .demandCommand(1)
    .parse()
}

function printCost(name: string, { mean, low, high }: Interval): void {
  const interval = `[${low.toFixed(2)}, ${high.toFixed(2)}]`
  process.stdout.write(`${name}: ${mean.toFixed(2)} us ${interval}\n`)
}

async function runNamed(
  name: string,
  seeds: number,
  plots: string | undefined,
): Promise<void> {
  const experiment = EXPERIMENTS.find((candidate) => candidate.name === name)
  if (!experiment) return
  const result = runExperiment(experiment, seeds, ({ workload, fault, policy }) => {
    process.stderr.write(`${workload} ${fault} ${policy}\n`)
  })
  process.stdout.write(formatResult(result))
  if (plots !== undefined) {
    await mkdir(plots, { recursive: true })
    for (const { fileName, svg } of await plotResult(result)) {
      await writeFile(join(plots, fileName), svg)
    }
  }
  process.exitCode = result.goals.every(({ isMet }) => isMet) ? 0 : 1
}
