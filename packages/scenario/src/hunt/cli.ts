/** Command line of `wagtailway-hunt`. */
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { MODELS, hunt, type ModelName } from './hunt.js'

/** Runs a hunt for each selected model; the exit code is 1 if one found a failure. */
export async function run(): Promise<void> {
  const names = Object.keys(MODELS) as ModelName[]
  const args = await yargs(hideBin(process.argv))
    .scriptName('wagtailway-hunt')
    .env('WAGTAILWAY')
    .strict()
    .option('model', {
      choices: names,
      array: true,
      default: names,
      describe: 'Models to run',
    })
    .option('runs', { type: 'number', default: 1_000, describe: 'Schedules of each' })
    .option('seed', { type: 'number', default: 1 })
    .parse()
  for (const model of args.model) {
    const report = await hunt({ model, runs: args.runs, seed: args.seed })
    const counts = [...report.events].map(([event, count]) => `${event} ${count}`)
    const verdict = report.failure === undefined ? 'no failure' : 'FAILED'
    process.stdout.write(
      `${model}: ${report.runs} schedules, seed ${args.seed}: ${verdict}\n` +
        `  ${counts.toSorted().join(', ')}\n`,
    )
    if (report.failure !== undefined) {
      process.stdout.write(`${report.failure}\n`)
      process.exitCode = 1
    }
  }
}
