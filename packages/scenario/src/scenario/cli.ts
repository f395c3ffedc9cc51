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
      async ({ files, seed, repeat }) => {
        const scenarios = await readScenarios(files ?? [])
        if (scenarios) await runAll(scenarios, seed, repeat)
      },
    )
    .parse()
}

const FILES = { type: 'string', array: true, describe: 'Scenario files' } as const

const RUN_OPTIONS = {
  seed: { type: 'number', default: 1, describe: 'Seed of the random numbers' },
  repeat: { type: 'number', default: 1, describe: 'Runs of each scenario' },
} as const

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

async function runAll(
  scenarios: readonly Scenario[],
  seed: number,
  repeat: number,
): Promise<void> {
  let failed = 0
  for (let i = 0; i < repeat; i++) {
    for (const scenario of scenarios) {
      const report = await runScenario(scenario, { seed: seed + i })
      process.stdout.write(formatReport(report))
      if (!hasPassed(report)) failed += 1
    }
  }
  process.stdout.write(`${scenarios.length * repeat} runs, ${failed} failed\n`)
  process.exitCode = failed === 0 ? 0 : 1
}
