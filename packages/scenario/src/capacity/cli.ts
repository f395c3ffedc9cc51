/** Command line of `wagtailway-capacity`. */
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { crashTrials } from './crashReport.js'
import { limitTrials } from './limitReport.js'
import { LIMIT_TROUBLES } from '../limitFleet/limitTrial.js'
import { feedTrial } from './feedReport.js'
import { restoreTrial } from './restoreReport.js'
import { falseRemovals } from './falseRemovals.js'
import { formatProcesses, processTrials } from './processReport.js'
import type { ProcessTrial } from './processTrial.js'
import { measureIdle } from './idleProcesses.js'
import { formatSlopes } from './slopeReport.js'
import { measureFleet } from './slopes.js'
import {
  MAX_PROPAGATION_MS,
  formatSpread,
  spreadTrials,
  violations,
} from './spreadReport.js'

/** Runs one of the commands; the exit code is 1 if a guarantee was violated. */
export async function run(): Promise<void> {
  await yargs(hideBin(process.argv))
    .scriptName('wagtailway-capacity')
    .env('WAGTAILWAY')
    .strict()
    .demandCommand(1)
    .option('seed', { type: 'number', default: 1 })
    .option('loss', { type: 'number', default: 0, describe: 'Share of messages lost' })
    .command(
      'spread',
      'A configuration change while something fails, in virtual time',
      (args) =>
        args
          .option('nodes', { type: 'number', default: 64 })
          .option('trials', { type: 'number', default: 200 })
          .option('json', { type: 'boolean', default: false, describe: 'Each trial' }),
      (args) => {
        const trials = spreadTrials(args)
        const failedTrials = violations(trials)
        if (!args.json) process.stdout.write(`${formatSpread(trials)}\n`)
        for (const trial of args.json ? trials : failedTrials)
          process.stdout.write(`${JSON.stringify(trial)}\n`)
        process.exitCode = failedTrials.length === 0 ? 0 : 1
      },
    )
    .command(
      'slopes',
      'Control bytes, processor time and platform calls of fleets of growing size',
      (args) =>
        args
          .option('sizes', { type: 'string', default: '8,16,32,64,128,256,430' })
          .option('replicas', { type: 'number', default: 0 })
          .option('replacements', { type: 'number', default: 1 })
          .option('changes', { type: 'number', default: 1 })
          .option('outage', { type: 'boolean', default: false })
          .option('seconds', { type: 'number', default: 60 })
          .option('warmUpSeconds', { type: 'number', default: 60 })
          .option('at', { type: 'number', default: 430 }),
      (args) => {
        const sizes = args.sizes.split(',').map(Number)
        const points = sizes.map((nodes) => measureFleet({ ...args, nodes }))
        process.stdout.write(`${formatSlopes(points, args.at)}\n`)
      },
    )
    .command(
      'processes',
      'A configuration change while something fails, on real processes',
      (args) =>
        args
          .option('routers', { type: 'number', default: 8 })
          .option('trials', { type: 'number', default: 3, describe: 'Of each fault' }),
      async (args) => {
        const trials = await processTrials(args)
        process.stdout.write(`${formatProcesses(trials)}\n`)
        const isBad = ({ heldMs, lastOldMs, reverted }: ProcessTrial): boolean =>
          heldMs > MAX_PROPAGATION_MS || lastOldMs > MAX_PROPAGATION_MS || reverted > 0
        process.exitCode = trials.some(isBad) ? 1 : 0
      },
    )
    .command(
      'removals',
      'False removals of live nodes under loss and freezes, in virtual time',
      (args) =>
        args
          .option('nodes', { type: 'number', default: 64 })
          .option('hours', { type: 'number', default: 3 })
          .option('freezes-per-hour', { type: 'number', default: 6 })
          .option('freeze-ms', { type: 'number', default: 10_000 }),
      (args) => {
        const result = falseRemovals(args)
        process.stdout.write(`${JSON.stringify(result, undefined, 2)}\n`)
      },
    )
    .command(
      'feeds',
      'Changes of a large configuration over links of limited bandwidth, in virtual time',
      (args) =>
        args
          .option('zones', { type: 'number', default: 3 })
          .option('wide', { type: 'number', default: 2, describe: 'Wide links a zone' })
          .option('narrow', { type: 'number', default: 23 })
          .option('wide-mbps', { type: 'number', default: 200 })
          .option('narrow-mbps', { type: 'number', default: 10 })
          .option('store-mbps', { type: 'number', default: 1_000 })
          .option('routes', { type: 'number', default: 1_400 })
          .option('changes', { type: 'number', default: 12 })
          .option('gap-ms', { type: 'number', default: 330 })
          .option('max-propagation-ms', { type: 'number', default: 3_000 }),
      async (args) => {
        const trial = await feedTrial({
          ...args,
          wideMbps: args['wide-mbps'],
          narrowMbps: args['narrow-mbps'],
          storeMbps: args['store-mbps'],
          gapMs: args['gap-ms'],
          maxPropagationMs: args['max-propagation-ms'],
        })
        process.stdout.write(`${JSON.stringify(trial)}\n`)
        process.exitCode = trial.late === 0 ? 0 : 1
      },
    )
    .command(
      'crashes',
      'Policies for prompts that crash servers, in virtual time',
      (args) =>
        args
          .option('instances', { type: 'number', default: 8 })
          .option('servers', { type: 'number', default: 6 })
          .option('seeds', { type: 'number', default: 10 })
          .option('sound', { type: 'number', default: 20, describe: 'Per second' })
          .option('bad', { type: 'number', default: 8, describe: 'Per second' })
          .option('position', { choices: [0, 1] as const, default: 1 as const }),
      async (args) => {
        for (const summary of await crashTrials(args))
          process.stdout.write(`${JSON.stringify(summary)}\n`)
      },
    )
    .command(
      'limits',
      'Policies for a server that names a rate limit, in virtual time',
      (args) =>
        args
          .option('instances', { type: 'number', default: 8 })
          .option('limit', { type: 'number', default: 1, describe: 'Requests a second' })
          .option('seeds', { type: 'number', default: 5 })
          .option('loss', { type: 'number', default: 0, describe: 'Share of datagrams' })
          .option('arrival', {
            choices: ['even', 'uneven'] as const,
            default: 'even' as const,
          })
          .option('trouble', { choices: Object.keys(LIMIT_TROUBLES), default: 'none' })
          .option('policies', {
            type: 'string',
            array: true,
            describe: 'All without it',
          }),
      async ({ policies, ...args }) => {
        for (const summary of await limitTrials({
          ...args,
          ...(policies && { policies }),
        }))
          process.stdout.write(`${JSON.stringify(summary)}\n`)
      },
    )
    .command(
      'restores',
      'Calls and times after restores of the store from an older copy, in virtual time',
      (args) =>
        args
          .option('zones', { type: 'number', default: 3 })
          .option('wide', { type: 'number', default: 2, describe: 'Wide links a zone' })
          .option('narrow', { type: 'number', default: 23 })
          .option('routes', { type: 'number', default: 100 })
          .option('max-propagation-ms', { type: 'number', default: 3_000 })
          .option('copy-age-ms', { type: 'number', default: 4_000 })
          .option('away-ms', { type: 'number', default: 800 })
          .option('restores', { type: 'number', default: 1 })
          .option('gap-ms', { type: 'number', default: 3_000 }),
      async (args) => {
        const trial = await restoreTrial({
          ...args,
          maxPropagationMs: args['max-propagation-ms'],
          copyAgeMs: args['copy-age-ms'],
          awayMs: args['away-ms'],
          gapMs: args['gap-ms'],
        })
        process.stdout.write(`${JSON.stringify(trial)}\n`)
        process.exitCode = trial.maxMs <= args['max-propagation-ms'] ? 0 : 1
      },
    )
    .command(
      'idle',
      'What real routers spend on each other while no caller comes',
      (args) =>
        args
          .option('sizes', { type: 'string', default: '4,8,16' })
          .option('seconds', { type: 'number', default: 30 }),
      async (args) => {
        for (const routers of args.sizes.split(',').map(Number)) {
          const cost = await measureIdle({ ...args, routers })
          process.stdout.write(`${JSON.stringify(cost)}\n`)
        }
      },
    )
    .parseAsync()
}
