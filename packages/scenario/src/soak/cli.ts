/** Command line of the randomized fault soak. */
import { writeFile } from 'node:fs/promises'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { runSoak } from './runSoak.js'
import { FAULT_NAMES } from './soakFaults.js'

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
    .option('only', {
      type: 'string',
      array: true,
      choices: FAULT_NAMES,
      default: FAULT_NAMES,
      describe: 'Names of the faults to inject',
    })
    .option('log', { type: 'string', describe: 'File for the logs of a failed seed' })
    .strict()
    .parse()
  let failed = 0
  for (let seed = argv.seed; seed < argv.seed + argv.runs; seed += 1) {
    const faultsMs = argv.seconds * 1_000
    const report = await runSoak({
      seed,
      gateways: argv.gateways,
      faultsMs,
      faults: argv.only,
    })
    const { findings, faults, calls, answered } = report
    const verdict = findings.length === 0 ? 'kept' : 'BROKEN'
    console.log(
      `seed ${seed}: ${verdict}; ${answered} of ${calls} answered; ${faults.length} faults`,
    )
    if (findings.length === 0) continue
    failed += 1
    console.log([...findings, `faults: ${faults.join(', ')}`].join('\n'))
    if (argv.log !== undefined) await writeFile(argv.log, report.logs.join('\n'))
  }
  console.log(`${argv.runs - failed} kept, ${failed} broken`)
  process.exitCode = failed > 0 ? 1 : 0
}
