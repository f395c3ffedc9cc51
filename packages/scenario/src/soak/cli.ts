/** Command line of the randomized fault soak. */
import { writeFile } from 'node:fs/promises'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { runSoak } from './runSoak.js'
import { FAULT_NAMES, MEAN_FAULT_PAUSE_MS } from './soakFaults.js'

/**
 * Runs consecutive seeds one after the other and prints the verdict and findings of each.
 *
 * @example
 * await run() // wagtailway-soak --seed 1 --runs 50
 */
export async function run(): Promise<void> {
  const argv = await yargs(hideBin(process.argv))
    .scriptName('wagtailway-soak')
    .option('seed', { type: 'number', default: 1, describe: 'First seed' })
    .option('runs', {
      type: 'number',
      default: 1,
      describe: 'Number of consecutive seeds',
    })
    .option('gateways', { type: 'number', default: 3, describe: 'Gateway processes' })
    .option('seconds', {
      type: 'number',
      default: 8,
      describe: 'Duration of the faults, in seconds',
    })
    .option('pause', {
      type: 'number',
      default: MEAN_FAULT_PAUSE_MS,
      describe: 'Mean pause between two faults, in milliseconds',
    })
    .option('only', {
      type: 'string',
      array: true,
      choices: FAULT_NAMES,
      default: FAULT_NAMES,
      describe: 'Names of the faults to inject',
    })
    .option('program', {
      type: 'string',
      describe: 'Program of the gateways, such as platform/dist/main.js of another build',
    })
    .option('log', {
      type: 'string',
      describe: 'Files for the logs of failed seeds; the seed is added to the name',
    })
    .strict()
    .parse()
  let failed = 0
  for (let seed = argv.seed; seed < argv.seed + argv.runs; seed += 1) {
    const faultsMs = argv.seconds * 1_000
    const report = await runSoak({
      seed,
      gateways: argv.gateways,
      faultsMs,
      meanPauseMs: argv.pause,
      faults: argv.only,
      ...(argv.program !== undefined && { program: argv.program }),
    })
    const { findings, faults, calls, answered } = report
    const verdict = findings.length === 0 ? 'kept' : 'BROKEN'
    console.log(
      `seed ${seed}: ${verdict}; ${answered} of ${calls} answered; ${faults.length} faults`,
    )
    if (findings.length === 0) continue
    failed += 1
    console.log([...findings, `faults: ${faults.join(', ')}`].join('\n'))
    if (argv.log !== undefined) {
      const lines = [...findings, ...report.logs]
      await writeFile(`${argv.log}-${seed}`, lines.join('\n'))
    }
  }
  console.log(`${argv.runs - failed} kept, ${failed} broken`)
  process.exitCode = failed > 0 ? 1 : 0
}
