/** Command line of `wagtailwayctl`. */
import { setTimeout as delay } from 'node:timers/promises'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { monotonicClock } from '@wagtailway/core'
import { PlatformClient } from '@wagtailway/platform'
import { awaitAcceptance, createHolderCounter } from './commands/acceptance.js'
import { createAnnouncements } from './commands/announce.js'
import { applyFiles } from './commands/apply.js'
import { check } from './commands/check.js'
import { explain } from './commands/explain.js'
import { plan } from './commands/plan.js'
import { status } from './commands/status.js'
import { withdraw } from './commands/withdraw.js'
import { EXIT } from './exitCodes.js'
import { formatReport, type Report } from './report.js'

const FILES = {
  type: 'string',
  array: true,
  demandOption: true,
  describe: 'Declaration files, one per owner',
} as const

const PLATFORM = {
  type: 'string',
  demandOption: true,
  describe: "Base URL of the platform's API",
} as const

const WAIT = {
  type: 'number',
  default: 13_000,
  describe: 'Maximum wait for entry instances to hold the change, in milliseconds',
} as const

/** Runs `wagtailwayctl`; the exit codes are in `exitCodes.ts`. */
export async function run(): Promise<void> {
  await createParser(hideBin(process.argv)).parseAsync()
}

function createParser(argv: string[]) {
  return yargs(argv)
    .scriptName('wagtailwayctl')
    .env('WAGTAILWAYCTL_')
    .strict()
    .option('json', { type: 'boolean', default: false, describe: 'Print JSON' })
    .command(
      'check <files..>',
      'Check declarations without the platform',
      (args) => args.positional('files', FILES),
      async (args) => {
        printReport(await check(args.files), args.json)
      },
    )
    .command(
      'plan <files..>',
      'Show whose traffic a change would move; nothing is written',
      (args) => args.positional('files', FILES).option('platform', PLATFORM),
      async (args) => {
        await withClient(args, (client) => plan(client, args.files))
      },
    )
    .command(
      'apply <files..>',
      'Put declarations into force',
      (args) =>
        args
          .positional('files', FILES)
          .option('platform', PLATFORM)
          .option('wait-ms', WAIT)
          .option('accept-moves', {
            type: 'boolean',
            default: false,
            describe: "Apply even if other owners' traffic moves",
          })
          .option('reinstate', {
            type: 'boolean',
            default: false,
            describe: 'Apply even if withdrawn versions get new requests again',
          })
          .option('base', {
            type: 'number',
            describe: 'Refuse if an owner has changed its document since this revision',
          })
          .option('change-id', {
            type: 'string',
            describe: 'Id of an earlier change to retry because it was not confirmed',
          }),
      async (args) => {
        const { acceptMoves, reinstate, base, changeId } = args
        const opts = {
          acceptMoves,
          reinstate,
          ...(base !== undefined && { base }),
          ...(changeId !== undefined && { changeId }),
        }
        await withClient(args, async (client) => {
          const prepareAnnouncement = createAnnouncements(client)
          const report = await applyFiles(client, args.files, {
            ...opts,
            prepareAnnouncement,
          })
          return waitForAcceptance(client, report, args.waitMs)
        })
      },
    )
    .command(
      'status',
      'Show what is in force, where, and the findings of each owner',
      (args) => args.option('platform', PLATFORM),
      async (args) => {
        await withClient(args, status)
      },
    )
    .command(
      'explain <request>',
      'Show why a request went where it went',
      (args) =>
        args
          .positional('request', {
            type: 'string',
            demandOption: true,
            describe: 'Id of the request, from the x-request-id header of its response',
          })
          .option('platform', PLATFORM),
      async (args) => {
        await withClient(args, (client) => explain(client, args.request))
      },
    )
    .command(
      'withdraw <model> <model-version>',
      'Withdraw a version at once',
      (args) =>
        args
          .positional('model', { type: 'string', demandOption: true })
          .positional('model-version', { type: 'string', demandOption: true })
          .option('reason', {
            type: 'string',
            demandOption: true,
            describe: 'Reason that is shown to the other owners',
          })
          .option('platform', PLATFORM)
          .option('wait-ms', WAIT),
      async ({ model, modelVersion, reason, ...args }) => {
        const withdrawal = { model, version: modelVersion, reason }
        await withClient(args, async (client) => {
          const prepareAnnouncement = createAnnouncements(client)
          const report = await withdraw(client, withdrawal, { prepareAnnouncement })
          return waitForAcceptance(client, report, args.waitMs)
        })
      },
    )
    .demandCommand(1, 'Specify a command.')
    .fail((message, err, parser) => {
      // yargs passes an error thrown by a command as `err`, and its own usage errors as `message`.
      const cause = err as Error | undefined
      if (cause) throw cause
      parser.showHelp('error')
      process.stderr.write(`\n${message}\n`)
      process.exit(EXIT.usage)
    })
}

/** Waits until a stored change counts as accepted. */
function waitForAcceptance(
  client: PlatformClient,
  report: Report,
  timeoutMs: number,
): Promise<Report> {
  const countHolders = createHolderCounter(client)
  const pause = (ms: number): Promise<void> => delay(ms)
  return awaitAcceptance(report, {
    countHolders,
    clock: monotonicClock,
    pause,
    timeoutMs,
  })
}

async function withClient(
  { platform, json }: { platform: string; json: boolean },
  command: (client: PlatformClient) => Promise<Report>,
): Promise<void> {
  const client = PlatformClient.create({ url: platform })
  try {
    printReport(await command(client), json)
  } finally {
    client.close()
  }
}

function printReport(report: Report, asJson: boolean): void {
  process.stdout.write(formatReport(report, asJson))
  process.exitCode = report.code
}
