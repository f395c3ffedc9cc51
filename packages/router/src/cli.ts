/** Command line of `wagtailway-router`. */
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { resolveConfig, type SettingFinding } from './options.js'
import { Router } from './router.js'

const EXIT_BAD_SETTINGS = 2

/** Every flag has an environment variable: `--peer-port` is `WAGTAILWAY_PEER_PORT`. */
function parseArgs(): Record<string, unknown> {
  const args = yargs(hideBin(process.argv))
    .scriptName('wagtailway-router')
    .env('WAGTAILWAY')
    .strict()
    .option('node', { type: 'string', describe: 'Name of this entry instance' })
    .option('zone', { type: 'string', describe: 'Availability zone of this instance' })
    .option('region', { type: 'string', describe: 'Region of this instance' })
    .option('host', { type: 'string', describe: 'IP number to listen on' })
    .option('port', { type: 'number', describe: 'Port for callers; 0 picks one' })
    .option('peer-port', { type: 'number', describe: 'Port for other entry instances' })
    .option('platform', { type: 'string', describe: "Base URL of the platform's API" })
    .option('ratings', { type: 'string', describe: 'Base URL of the rating service' })
    .option('session-keys', {
      type: 'string',
      describe: 'Keys that sign session tokens, newest first, separated by commas',
    })
    .option('config-fresh-ms', { type: 'number', describe: 'Oldest proof of freshness' })
    .option('instance-poll-ms', { type: 'number', describe: 'Pause between list polls' })
    .option('heartbeat-ms', { type: 'number', describe: 'Pause between exchanges' })
    .option('seeds', {
      type: 'string',
      describe: 'Peer addresses to start from without the platform, separated by commas',
    })
    .option('flush-ms', { type: 'number', describe: 'Pause between billing flushes' })
    .option('max-in-progress', { type: 'number', describe: 'Requests taken on at once' })
    .option('max-body-bytes', { type: 'number', describe: 'Largest request body' })
    .option('request-timeout-ms', { type: 'number', describe: 'Time to send a request' })
    .option('default-deadline-ms', { type: 'number', describe: 'Deadline if none named' })
    .option('progress-timeout-ms', {
      type: 'number',
      describe: 'Longest backend silence',
    })
    .option('drain-grace-ms', { type: 'number', describe: 'Accepting while leaving' })
    .option('rating-sample', { type: 'number', describe: 'Fraction of answers rated' })
    .option('seed', { type: 'number', describe: 'Seed of the random numbers' })
    .parseSync()
  return {
    ...args,
    sessionKeys: args['session-keys']?.split(','),
    seeds: args.seeds?.split(','),
  }
}

/** Runs `wagtailway-router` until a signal ends it. */
export async function run(): Promise<void> {
  const resolved = resolveConfig(parseArgs())
  if (resolved.err) {
    process.stderr.write(resolved.val.map(formatFinding).join(''))
    process.exitCode = EXIT_BAD_SETTINGS
    return
  }
  const router = await Router.create(resolved.val)
  process.stdout.write(`listening ${router.address} peers ${router.peerAddress}\n`)
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    process.once(signal, () => {
      router.close().then(
        () => process.exit(0),
        () => process.exit(1),
      )
    })
  }
}

function formatFinding({ setting, message }: SettingFinding): string {
  const flag = setting.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`)
  const variable = `WAGTAILWAY_${flag.replace(/-/g, '_').toUpperCase()}`
  return `--${flag} (${variable}): ${message}\n`
}
