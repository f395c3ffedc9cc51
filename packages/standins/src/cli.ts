/** Command lines of the stand-ins. */
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { requestJson } from '@wagtailway/platform'
import { EngineStandin } from './engine/engineStandin.js'
import { PlatformStandin } from './platform/platformStandin.js'
import { RatingsStandin } from './ratings/ratingsStandin.js'
import { ServiceStandin } from './service/serviceStandin.js'

const REGISTER_TIMEOUT_MS = 2_000

function command(name: string) {
  return yargs(hideBin(process.argv))
    .scriptName(name)
    .env('WAGTAILWAY')
    .strict()
    .option('port', {
      type: 'number',
      default: 0,
      describe: 'Port on 127.0.0.1; 0 selects a free one',
    })
}

/** Prints the line from which the starting process reads the address. */
function printAddress(address: string): void {
  process.stdout.write(`listening ${address}\n`)
}

/** Prints one line of JSON. Writes to a pipe are synchronous, so a kill loses no line. */
function printJson(value: object): void {
  process.stdout.write(`${JSON.stringify(value)}\n`)
}

function closeOnSignal(close: () => Promise<void>): void {
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    process.once(signal, () => {
      close().then(
        () => process.exit(0),
        () => process.exit(1),
      )
    })
  }
}

/** Runs `wagtailway-platform`. */
export async function runPlatform(): Promise<void> {
  const args = await command('wagtailway-platform').parse()
  const standin = await PlatformStandin.create({ port: args.port })
  printAddress(standin.url.replace('http://', ''))
  closeOnSignal(() => standin.close())
}

/** Runs `wagtailway-engine`. */
export async function runEngine(): Promise<void> {
  const args = await command('wagtailway-engine')
    .option('id', { type: 'string', demandOption: true })
    .option('zone', { type: 'string', default: 'z1' })
    .option('versions', {
      type: 'string',
      demandOption: true,
      describe: 'Served versions, as model@version separated by commas',
    })
    .option('first-token-ms', { type: 'number', default: 5 })
    .option('between-tokens-ms', { type: 'number', default: 1 })
    .option('slots', { type: 'number', default: 32 })
    .option('tokens', { type: 'number', default: 16 })
    .option('platform', {
      type: 'string',
      describe: 'URL of the platform at which to register',
    })
    .option('log-starts', {
      type: 'boolean',
      default: false,
      describe: 'Print each request as it starts and as it finishes',
    })
    .parse()
  const versions = args.versions.split(',')
  const standin = await EngineStandin.create(
    { ...args, versions },
    args.logStarts ? printJson : undefined,
  )
  const registration = { id: args.id, role: 'engine', zone: args.zone, versions }
  await register(args.platform, { ...registration, address: standin.address })
  printAddress(standin.address)
  closeOnSignal(() => standin.close())
}

/** Runs `wagtailway-service`. */
export async function runService(): Promise<void> {
  const args = await command('wagtailway-service')
    .option('id', { type: 'string', demandOption: true })
    .option('zone', { type: 'string', default: 'z1' })
    .option('name', {
      type: 'string',
      demandOption: true,
      describe: 'Name of the service',
    })
    .option('platform', {
      type: 'string',
      describe: 'URL of the platform at which to register',
    })
    .option('log-starts', {
      type: 'boolean',
      default: false,
      describe: 'Print each call as it runs',
    })
    .parse()
  const standin = await ServiceStandin.create(
    { port: args.port },
    args.logStarts ? printJson : undefined,
  )
  const registration = {
    id: args.id,
    role: 'service',
    zone: args.zone,
    service: args.name,
  }
  await register(args.platform, { ...registration, address: standin.address })
  printAddress(standin.address)
  closeOnSignal(() => standin.close())
}

/** Runs `wagtailway-ratings`. */
export async function runRatings(): Promise<void> {
  const args = await command('wagtailway-ratings')
    .option('seed', { type: 'number', default: 1 })
    .parse()
  const standin = await RatingsStandin.create({ port: args.port, seed: args.seed })
  printAddress(standin.url.replace('http://', ''))
  closeOnSignal(() => standin.close())
}

async function register(platform: string | undefined, instance: object): Promise<void> {
  if (platform === undefined) return
  await requestJson({
    method: 'PUT',
    url: `${platform}/admin/instances`,
    body: instance,
    timeoutMs: REGISTER_TIMEOUT_MS,
  })
}
