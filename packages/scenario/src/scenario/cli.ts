/** Command line of `wagtailway-scenario`. */
import { readFile } from 'node:fs/promises'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { formatReport } from './formatReport.js'
import { formatScenarioFinding, parseScenario } from './parseScenario.js'
import { hasPassed, runScenario } from './runScenario.js'
import type { Scenario } from './schema.js'

const EXIT_BAD_FILE = 2

/** Runs `wagtailway-scenario`. */
export async function run(): Promise<void> {
  await yargs(hideBin(process.argv))
    .scriptName('wagtailway-scenario')
    .env('WAGTAILWAY')
    .strict()
    .demandCommand(1)
    .command(
      'check <files..>',
      'Check scenario files and print every finding',
      (y) => y.positional('files', FILES),
      async ({ files }) => {
        await readScenarios(files ?? [])
      },
    )
    .command(
      'run <files..>',
      'Run scenarios and print a verdict for each stated outcome',
      (y) => y.positional('files', FILES).options(RUN_OPTIONS),
      async ({ files, ...opts }) => {
        const scenarios = await readScenarios(files ?? [])
        if (scenarios) await runAll(scenarios, opts)
      },
    )
    .parse()
}

const FILES = { type: 'string', array: true, describe: 'Scenario files' } as const

const RUN_OPTIONS = {
  seed: { type: 'number', default: 1, describe: 'Seed of the random numbers' },
  repeat: { type: 'number', default: 1, describe: 'Runs of each scenario' },
  jobs: { type: 'number', default: 1, describe: 'Scenarios run at once' },
} as const

interface RunOptions {
  readonly seed: number
  readonly repeat: number
  readonly jobs: number
}

/** Reads all files; prints every finding and returns nothing if there are any. */
async function readScenarios(files: readonly string[]): Promise<Scenario[] | undefined> {
  const parsed = await Promise.all(
    files.map(async (file) => parseScenario(file, await readFile(file, 'utf8'))),
  )
  const findings = parsed.flatMap((one) => (one.err ? one.val : []))
  for (const finding of findings) {
    process.stdout.write(`${formatScenarioFinding(finding)}\n`)
  }
  if (findings.length === 0) return parsed.flatMap((one) => (one.ok ? [one.val] : []))
  process.exitCode = EXIT_BAD_FILE
  return undefined
}

interface Job {
  readonly scenario: Scenario
  readonly seed: number
}

/** Runs each scenario `repeat` times, with a new seed each time, `jobs` at once. */
async function runAll(scenarios: readonly Scenario[], opts: RunOptions): Promise<void> {
  const queue: Job[] = Array.from({ length: opts.repeat }, (_, i) =>
    scenarios.map((scenario) => ({ scenario, seed: opts.seed + i })),
  ).flat()
  const total = queue.length
  let failed = 0
  const work = async (): Promise<void> => {
    for (let job = queue.shift(); job; job = queue.shift()) {
      if (!(await runJob(job))) failed += 1
    }
  }
  await Promise.all(Array.from({ length: opts.jobs }, work))
  process.stdout.write(`${total} runs, ${failed} failed\n`)
  process.exitCode = failed === 0 ? 0 : 1
}

/** Runs one scenario and prints its verdicts; returns whether it has passed. */
async function runJob({ scenario, seed }: Job): Promise<boolean> {
  try {
    const report = await runScenario(scenario, { seed })
    process.stdout.write(formatReport(report))
    return hasPassed(report)
  } catch (err) {
    const why = err instanceof Error ? (err.stack ?? err.message) : String(err)
    process.stdout.write(`FAIL ${scenario.name} (seed ${seed}) did not run: ${why}\n`)
    return false
  }
}
