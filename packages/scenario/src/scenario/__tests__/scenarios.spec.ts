/**
 * Runs the scenarios marked for CI; those listed in KNOWN-RED.txt may fail without
 * failing CI.
 */
import assert from 'node:assert/strict'
import { existsSync, readFileSync, readdirSync } from 'node:fs'
import { describe, it } from 'node:test'
import { fileURLToPath } from 'node:url'
import { formatReport } from '../formatReport.js'
import { parseKnownRed } from '../knownRed.js'
import { formatScenarioFinding, parseScenario } from '../parseScenario.js'
import { hasPassed, runScenario } from '../runScenario.js'

const ROOT = fileURLToPath(new URL('../../../../../', import.meta.url))
const FOLDER = `${ROOT}playground/scenarios/`
const SEED = 1

/** Number of scenarios run concurrently. */
const JOBS = 4

const knownFailures = existsSync(`${ROOT}KNOWN-RED.txt`)
  ? parseKnownRed(readFileSync(`${ROOT}KNOWN-RED.txt`, 'utf8'))
  : new Map<string, string>()

const files = readdirSync(FOLDER).filter((file) => file.endsWith('.yaml'))

const parsed = files.map((file) => ({
  name: file.replace('.yaml', ''),
  result: parseScenario(file, readFileSync(`${FOLDER}${file}`, 'utf8')),
}))

it('every scenario file is valid', () => {
  const findings = parsed.flatMap(({ result }) => (result.err ? result.val : []))
  assert.deepEqual(findings.map(formatScenarioFinding), [])
})

describe('scenarios', { concurrency: JOBS }, () => {
  for (const { name, result } of parsed) {
    if (result.err || !result.val.ci) continue
    const scenario = result.val
    const knownFailure = knownFailures.get(name)
    it(
      name,
      knownFailure === undefined ? {} : { todo: `known to fail: ${knownFailure}` },
      async () => {
        const report = await runScenario(scenario, { seed: SEED })
        assert.ok(hasPassed(report), formatReport(report))
      },
    )
  }
})
