/** Command line of `wagtailway-demo`. */
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { DEMO_DEPLOYMENTS } from './deployments.js'
import { formatReport, isClean } from './formatReport.js'
import { runDemo } from './runDemo.js'

/** Runs the demo; the exit code is 1 unless all reports are clean. */
export async function run(): Promise<void> {
  const args = await yargs(hideBin(process.argv))
    .scriptName('wagtailway-demo')
    .env('WAGTAILWAY')
    .strict()
    .option('requests', {
      type: 'number',
      default: 1_100,
      describe: 'For each deployment',
    })
    .option('rate', { type: 'number', default: 75, describe: 'Requests a second' })
    .option('routers', { type: 'number', default: 3 })
    .option('seed', { type: 'number', default: 1 })
    .parse()
  const opts = { ...args, ratePerSecond: args.rate }
  const reports = await Promise.all(DEMO_DEPLOYMENTS.map((spec) => runDemo(spec, opts)))
  for (const report of reports) process.stdout.write(`${formatReport(report)}\n`)
  process.exitCode = reports.every(isClean) ? 0 : 1
}
