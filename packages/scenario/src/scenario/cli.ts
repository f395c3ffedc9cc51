/** Command line of `wagtailway-scenario`. */
import { readFile, writeFile } from 'node:fs/promises'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { formatTrace, parseTrace, type TraceEntry } from '../trace/index.js'
import { formatReport } from './formatReport.js'
import { formatScenarioFinding, parseScenario } from './parseScenario.js'
import type { Replay } from './replay.js'
import { hasPassed, runScenario } from './runScenario.js'
import type { Scenario } from './schema.js'

const EXIT_BAD_FILE = 2
const EXIT_SIGNAL = 130

/** Runs `wagtailway-scenario`. */
export async function run(): Promise<void> {
  // The scenario's processes are killed on process exit; a signal alone would leave them
  // running.
  process.setMaxListeners(0)
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    process.once(signal, () => process.exit(EXIT_SIGNAL))
  }
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
    .command(
      'replay <trace> <file>',
      "Send a recorded trace in place of a scenario's traffic",
      (y) =>
        y
          .positional('trace', { type: 'string', demandOption: true })
          .positional('file', { type: 'string', demandOption: true })
          .option('speed', {
            type: 'number',
            default: 1,
            describe: '2 takes half the time',
          })
          .option('seed', RUN_OPTIONS.seed),
      async ({ trace, file, speed, seed }) => {
        const scenarios = await readScenarios([file])
        const entries = await readTrace(trace)
        if (!scenarios || !entries) return
        const opts = { seed, repeat: 1, jobs: 1, record: undefined }
        await runAll(scenarios, { ...opts, replay: { entries, speed } })
      },
    )
    .parse()
}

const FILES = { type: 'string', array: true, describe: 'Scenario files' } as const

const RUN_OPTIONS = {
  seed: { type: 'number', default: 1, describe: 'Seed of the random numbers' },
  repeat: { type: 'number', default: 1, describe: 'Runs of each scenario' },
  jobs: { type: 'number', default: 1, describe: 'Scenarios run at once' },
  record: { type: 'string', describe: 'File for the trace of the last run' },
} as const

interface RunOptions {
  readonly seed: number
  readonly repeat: number
  readonly jobs: number
  readonly record: string | undefined
  readonly replay?: Replay
}

/** Reads a trace; prints all findings and returns undefined if there are any. */
async function readTrace(file: string): Promise<TraceEntry[] | undefined> {
  const parsedTrace = parseTrace(await readFile(file, 'utf8'))
  if (parsedTrace.ok) return parsedTrace.val
  for (const { line, message } of parsedTrace.val) {
    process.stdout.write(`${file}:${line}: ${message}\n`)
  }
  process.exitCode = EXIT_BAD_FILE
  return undefined
}

/** Reads scenario files; prints all findings and returns undefined if there are any. */
async function readScenarios(files: readonly string[]): Promise<Scenario[] | undefined> {
  const parsed = await Promise.all(
    files.map(async (file) => parseScenario(file, await readFile(file, 'utf8'))),
  )
  const findings = parsed.flatMap((result) => (result.err ? result.val : []))
  for (const finding of findings) {
    process.stdout.write(`${formatScenarioFinding(finding)}\n`)
  }
  if (findings.length === 0)
    return parsed.flatMap((result) => (result.ok ? [result.val] : []))
  process.exitCode = EXIT_BAD_FILE
  return undefined
}

interface Job {
  readonly scenario: Scenario
  readonly seed: number
}

/** Runs each scenario `repeat` times with consecutive seeds, at most `jobs` at a time. */
async function runAll(scenarios: readonly Scenario[], opts: RunOptions): Promise<void> {
  const queue: Job[] = Array.from({ length: opts.repeat }, (_, i) =>
    scenarios.map((scenario) => ({ scenario, seed: opts.seed + i })),
  ).flat()
  const total = queue.length
  let failed = 0
  const runQueuedJobs = async (): Promise<void> => {
    for (let job = queue.shift(); job; job = queue.shift()) {
      if (!(await runJob(job, opts))) failed += 1
    }
  }
  await Promise.all(Array.from({ length: opts.jobs }, runQueuedJobs))
  process.stdout.write(`${total} runs, ${failed} failed\n`)
  process.exitCode = failed === 0 ? 0 : 1
}

/** Runs one scenario and prints its verdicts; returns whether it passed. */
async function runJob(
  { scenario, seed }: Job,
  { record, replay }: RunOptions,
): Promise<boolean> {
  try {
    const report = await runScenario(scenario, { seed, replay })
    if (record !== undefined) await writeFile(record, formatTrace(report.trace))
    process.stdout.write(formatReport(report))
    return hasPassed(report)
  } catch (err) {
    const cause = err instanceof Error ? (err.stack ?? err.message) : String(err)
    process.stdout.write(`FAIL ${scenario.name} (seed ${seed}) did not run: ${cause}\n`)
    return false
  }
}
