/** Command line of `wagtailway-router`. */
import { SettingsError, type ProcessLife } from '@wagtailway/core/process'
import yargs, { type Options } from 'yargs'
import { hideBin } from 'yargs/helpers'
import {
  LineWriter,
  flagOf,
  formatSettingFinding,
  openOutput,
  startTimer,
  type Setting,
  type SettingFinding,
} from '@wagtailway/core'
import { ROUTER_SETTINGS, SETTINGS_PREFIX, resolveConfig } from './options.js'
import { Router } from './router.js'

const STDOUT_FD = 1

/** Settings from the command line and the environment, not validated yet. */
export interface ParsedArgs {
  /** Values by setting name. */
  readonly values: Readonly<Record<string, unknown>>
  /** Flags, variables and positional arguments that match no setting. */
  readonly unknown: readonly SettingFinding[]
}

/** Reads the flags and their environment variables. */
export function parseArgs(argv: readonly string[]): ParsedArgs {
  const flags = ROUTER_SETTINGS.map((setting) => [setting.flag, flagOptions(setting)])
  const args = yargs([...argv])
    .scriptName('wagtailway-router')
    .env(`${SETTINGS_PREFIX}_`)
    .options(Object.fromEntries(flags) as Record<string, Options>)
    .epilogue(
      `Each flag has an environment variable: --peer-port is ${SETTINGS_PREFIX}_PEER_PORT.`,
    )
    .parseSync()
  const given = ROUTER_SETTINGS.flatMap((setting) => {
    const value = args[setting.flag]
    return value === undefined
      ? []
      : [[setting.name, parseValue(setting, value)] as const]
  })
  return { values: Object.fromEntries(given), unknown: unknownArgs(args) }
}

function unknownArgs(args: Readonly<Record<string, unknown>>): SettingFinding[] {
  const known = new Set(ROUTER_SETTINGS.flatMap(({ name, flag }) => [name, flag]))
  const names = Object.keys(args)
    .filter((key) => !known.has(key) && key !== '_' && key !== '$0')
    .map(flagOf)
  const positionals = Array.isArray(args['_']) ? args['_'].map(String) : []
  return [
    ...[...new Set(names)].map((setting) => ({ setting, message: 'no such setting' })),
    ...positionals.map((positional) => ({
      setting: positional,
      message: 'is not a flag',
    })),
  ]
}

/** Shows the default in the help only; `resolveConfig` fills it in. */
function flagOptions({ type, description, defaultValue, required }: Setting): Options {
  const displayedDefault = required ? 'required' : defaultValue
  return {
    type: type === 'list' ? 'string' : type,
    describe:
      displayedDefault === undefined
        ? description
        : `${description} [${displayedDefault}]`,
    requiresArg: true,
  }
}

function parseValue({ type }: Setting, value: unknown): unknown {
  return type === 'list' && typeof value === 'string' ? value.split(',') : value
}

/**
 * Runs `wagtailway-router`; resolves once it has stopped, rejects with a `SettingsError` for
 * settings that it can't start with.
 *
 * @example
 * await run(life)
 */
export async function run(life: ProcessLife): Promise<void> {
  const { values, unknown } = parseArgs(hideBin(process.argv))
  const resolved = resolveConfig(values)
  if (resolved.err || unknown.length > 0) {
    const findings = [...unknown, ...(resolved.err ? resolved.val : [])]
    const lines = findings.map((finding) =>
      formatSettingFinding(finding, SETTINGS_PREFIX),
    )
    throw new SettingsError(lines.join('').trimEnd())
  }
  // Callers are accepted last, so that a stop during the start needs no drain.
  const router = await Router.create(resolved.val)
  life.observe(router.lifeObserver)
  const { drainGraceMs, defaultDeadlineMs } = resolved.val
  life.beginServing(drainGraceMs + defaultDeadlineMs)
  const output = LineWriter.create({
    write: openOutput(STDOUT_FD),
    startTimer,
    onDropped: () => undefined,
  })
  output.add(`listening ${router.address} peers ${router.peerAddress}`)
  await life.stopRequested
  await router.close()
}
