import assert from 'node:assert/strict'
import { spawn } from 'node:child_process'
import { describe, it } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'

const MODULE = fileURLToPath(new URL('../blockOutput.js', import.meta.url))
const BYTES = 4_000_000
const WRITE_AND_EXIT = `process.stdout.write('x'.repeat(${BYTES})); process.exit(0)`

describe('a process that blocks on its output', () => {
  it('loses nothing of it by a forced exit, however late it is read', async () => {
    const args = ['--import', MODULE, '--eval', WRITE_AND_EXIT]
    const child = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'inherit'] })
    await sleep(500)
    let received = 0
    for await (const chunk of child.stdout) received += (chunk as Buffer).length
    assert.equal(received, BYTES)
  })
})
