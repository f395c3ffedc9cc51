/** Command line of the faults thrown from callbacks. */
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { formatReport } from './formatReport.js'
import { runThrowTrial, type ThrowTrialOptions } from './throwTrial.js'

/**
 * Runs consecutive seeds one after the other and prints what was lost, by place.
 *
 * @example
 * await run() // wagtailway-throw --seed 1 --runs 5
 */
export async function run(): Promise<void> {
  const argv = await yargs(hideBin(process.argv))
    .scriptName('wagtailway-throw')
    .usage('$0 [options]', 'Throws errors from the callbacks of gateways under load')
    .option('seed', { type: 'number', default: 1, describe: 'First seed' })
    .option('runs', {
      type: 'number',
      default: 1,
      describe: 'Number of consecutive seeds',
    })
    .option('gateways', { type: 'number', default: 3, describe: 'Gateway processes' })
    .option('seconds', {
      type: 'number',
      default: 15,
      describe: 'Duration of the throws, in seconds',
    })
    .option('every', {
      type: 'number',
      default: 300,
      describe: 'Mean number of calls of a place between two throws',
    })
    .option('pause', {
      type: 'number',
      default: 400,
      describe: 'Shortest time between two throws of a process, in milliseconds',
    })
    .option('each', {
      type: 'boolean',
      default: false,
      describe: 'Throw at each place once, one after the other at each gateway',
    })
    .option('only', {
      type: 'string',
      default: '',
      describe: 'With --each: regular expression of the places',
    })
    .option('when', {
      choices: ['before', 'after'] as const,
      describe:
        'With --each: throw before or after the callbacks; by chance if not given',
    })
    .option('program', {
      type: 'string',
      describe: 'Program of the gateways, such as platform/dist/main.js of another build',
    })
    .option('lines', {
      type: 'boolean',
      default: false,
      describe: 'Print what the gateways log on errors and ends',
    })
    .example('$0 --seed 7 --runs 5', 'throws by five seeds, for 15 s each')
    .example('$0 --each', 'throws at each place that the load reaches, once')
    .example('$0 --each --only relayServer', 'the same at the places of one file')
    .example('$0 --program target/wagtailway-gateway.mjs', 'another build')
    .epilogue('Exit status 1: more than the exchange of a throw was lost.')
    .strict()
    .parse()
  const only = new RegExp(argv.only)
  const plan: ThrowTrialOptions['plan'] = argv.each
    ? { mode: 'places', isWanted: (place) => only.test(place), when: argv.when }
    : {
        mode: 'seeded',
        forMs: argv.seconds * 1_000,
        every: argv.every,
        pauseMs: argv.pause,
      }
  let broken = 0
  for (let seed = argv.seed; seed < argv.seed + argv.runs; seed += 1) {
    const report = await runThrowTrial({
      seed,
      gateways: argv.gateways,
      plan,
      ...(argv.program !== undefined && { program: argv.program }),
    })
    if (report.findings.length > 0) broken += 1
    console.log(`seed ${seed}: ${formatReport(report)}`)
    if (argv.lines) console.log(report.lines.join('\n'))
  }
  process.exitCode = broken > 0 ? 1 : 0
}
