/**
 * A file whose process exits early is passed by the runner: the results that are missing must
 * fail the run.
 */
import assert from 'node:assert/strict'
import { execFile } from 'node:child_process'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { fileURLToPath } from 'node:url'

const REPORTER = fileURLToPath(new URL('../completeReporter.js', import.meta.url))

const SOUND = "it('first', () => {})\ndescribe('group', () => { it('second', () => {}) })"
const EXITS = "describe('early', () => { it('exits', () => process.exit(0)) })"

let folder: string

beforeEach(async () => {
  folder = await mkdtemp(join(tmpdir(), 'wagtailway-report-'))
})

afterEach(async () => {
  await rm(folder, { recursive: true, force: true })
})

/** Runs test files with the reporter; returns its output and the status of the run. */
async function run(
  files: Readonly<Record<string, string>>,
): Promise<{ text: string; status: number }> {
  const paths = Object.keys(files).map((name) => join(folder, name))
  for (const [name, text] of Object.entries(files))
    await writeFile(
      join(folder, name),
      `import { describe, it } from 'node:test'\n${text}\n`,
    )
  // With this variable a run inside a run reports to the outer one.
  const env = { ...process.env, NODE_TEST_CONTEXT: undefined }
  return new Promise((resolve) => {
    const args = ['--test', '--test-force-exit', `--test-reporter=${REPORTER}`, ...paths]
    execFile(process.execPath, args, { env }, (err, stdout) => {
      resolve({ text: stdout, status: typeof err?.code === 'number' ? err.code : 0 })
    })
  })
}

describe('a run of tests', () => {
  it('passes if all results were reported', async () => {
    const { text, status } = await run({ 'a.spec.mjs': SOUND, 'b.spec.mjs': SOUND })
    assert.equal(text, '6 results of 2 test files were reported\n')
    assert.equal(status, 0)
  })

  it('fails if the process of a file exits before its results are reported', async () => {
    const { text, status } = await run({
      'a.spec.mjs': SOUND,
      'b.spec.mjs': `${SOUND}\n${EXITS}`,
    })
    assert.match(text, /missing: .*b\.spec\.mjs/)
    assert.equal(status, 1)
  })

  it('fails as usual if a test fails', async () => {
    const { text, status } = await run({
      'a.spec.mjs': "it('fails', () => { throw new Error('failed') })",
    })
    assert.equal(text, '1 results of 1 test files were reported\n')
    assert.equal(status, 1)
  })
})
