/** Runs the scenarios that are marked for CI; those of KNOWN-RED.txt fail without failing CI. */
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

/** Scenarios run at once. */
const JOBS = 4

const known = existsSync(`${ROOT}KNOWN-RED.txt`)
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
    const red = known.get(name)
    it(name, red === undefined ? {} : { todo: `known to fail: ${red}` }, async () => {
      const report = await runScenario(scenario, { seed: SEED })
      assert.ok(hasPassed(report), formatReport(report))
    })
  }
})
