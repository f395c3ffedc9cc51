/**
 * Command line of `wagtailway-load`, an open-loop load generator for chat completions.
 */
import yargs, { type Options } from 'yargs'
import { hideBin } from 'yargs/helpers'
import { formatSettingFinding, seededRandom, settingFindings } from '@wagtailway/core'
import { LOAD_PREFIX, LOAD_SETTINGS, loadSchema } from './loadSettings.js'
import { LoadStats, runLoad } from './runLoad.js'

const EXIT_BAD_SETTINGS = 2
const MICROS_PER_MS = 1_000
const PERCENTILES = [50, 90, 95, 99, 99.9, 100]

/**
 * Runs the load and prints the results; the exit code is 1 if a response was wrong or
 * incomplete.
 */
export async function run(): Promise<void> {
  const flags = LOAD_SETTINGS.map(({ flag, type, description, defaultValue }) => {
    const describe =
      defaultValue === undefined ? description : `${description} [${defaultValue}]`
    return [flag, { type: type === 'list' ? 'string' : type, describe }]
  })
  const args = yargs(hideBin(process.argv))
    .scriptName('wagtailway-load')
    .env(`${LOAD_PREFIX}_`)
    .options(Object.fromEntries(flags) as Record<string, Options>)
    .strict()
    .parseSync()
  const parsed = loadSchema.safeParse(args)
  if (!parsed.success) {
    for (const finding of settingFindings(parsed.error)) {
      process.stderr.write(formatSettingFinding(finding, LOAD_PREFIX))
    }
    process.exitCode = EXIT_BAD_SETTINGS
    return
  }
  const { target, key, class: className, prompt, stream, ...load } = parsed.data
  const common = { address: target, apiKey: key, className, stream }
  const statsByName = await runLoad({
    count: load.requests,
    ratePerSecond: load.rate,
    random: seededRandom(load.seed),
    callFor: (index) => ({
      name: 'all',
      call: { ...common, prompt: `${prompt} ${index}` },
    }),
  })
  const totals = statsByName.get('all') ?? LoadStats.create()
  process.stdout.write(formatStats(totals))
  process.exitCode = totals.wrong > 0 ? 1 : 0
}

function formatStats(stats: LoadStats): string {
  const refusals = [...stats.refusals].map(([reason, count]) => `${reason} ${count}`)
  return [
    `sent ${stats.sent}, answered ${stats.answered}, wrong ${stats.wrong}, refused ${stats.refused}`,
    ...(refusals.length > 0 ? [`refusals: ${refusals.join(', ')}`] : []),
    'ms from the intended start   first token        total',
    ...PERCENTILES.map((percentile) => {
      const cells = [stats.firstToken, stats.total].map((histogram) => {
        const ms = histogram.getValueAtPercentile(percentile) / MICROS_PER_MS
        return ms.toFixed(2).padStart(12)
      })
      return `p${percentile}`.padEnd(27) + cells.join(' ')
    }),
    '',
  ].join('\n')
}
