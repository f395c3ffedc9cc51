/** Command line of `wagtailwayctl`. */
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { PlatformClient } from '@wagtailway/platform'
import { apply } from './commands/apply.js'
import { check } from './commands/check.js'

const PLATFORM = {
  type: 'string',
  demandOption: true,
  describe: "Base URL of the platform's API",
} as const

/** Runs `wagtailwayctl`; the exit code is 1 if there are findings. */
export async function run(): Promise<void> {
  await yargs(hideBin(process.argv))
    .scriptName('wagtailwayctl')
    .env('WAGTAILWAY')
    .strict()
    .command(
      'check <files..>',
      'Check declarations without the platform',
      (args) =>
        args.positional('files', { type: 'string', array: true, demandOption: true }),
      async (args) => {
        process.exitCode = await check(args.files, print)
      },
    )
    .command(
      'apply <files..>',
      'Put declarations into force',
      (args) =>
        args
          .positional('files', { type: 'string', array: true, demandOption: true })
          .option('platform', PLATFORM),
      async (args) => {
        const client = PlatformClient.create({ url: args.platform })
        process.exitCode = await apply(client, args.files, print)
        client.close()
      },
    )
    .demandCommand(1, 'Name a command.')
    .parseAsync()
}

function print(line: string): void {
  process.stdout.write(`${line}\n`)
}
