import assert from 'node:assert/strict'
import { afterEach, describe, it } from 'node:test'
import { waitUntil } from '../../fleet/gatewayHarness.js'
import { SoakProcess } from '../soakProcess.js'

/** Keeps a program running. */
const STAY = 'setInterval(() => {}, 1_000);'

const processes: SoakProcess[] = []

interface Observed {
  readonly process: SoakProcess
  readonly findings: readonly string[]
  readonly lines: readonly string[]
  readonly unaskedEnds: () => number
}

function run(code: string, opts: { stopMs?: number; fileLimit?: number } = {}): Observed {
  const findings: string[] = []
  const lines: string[] = []
  let unaskedEnds = 0
  const started = SoakProcess.create({
    command: [process.execPath, '-e', code],
    stopMs: 2_000,
    onLine: (line) => lines.push(line),
    onFinding: (text) => findings.push(text),
    onUnaskedEnd: () => {
      unaskedEnds += 1
    },
    ...opts,
  })
  processes.push(started)
  return { process: started, findings, lines, unaskedEnds: () => unaskedEnds }
}

/** Waits until findings of an end would have been told. */
async function exited({ process }: Observed): Promise<void> {
  await process.exited
  await new Promise((resolve) => setTimeout(resolve, 300))
}

afterEach(() => {
  for (const started of processes.splice(0)) {
    started.signal('SIGKILL')
  }
})

describe('SoakProcess', () => {
  it('finds an end that nobody asked for, with its status and standard error', async () => {
    const observed = run('process.stderr.write("no space\\n"); process.exitCode = 7')
    await exited(observed)
    const [finding = ''] = observed.findings
    assert.match(finding, /nobody asked for .*: code 7, signal none; .*: no space/)
    assert.equal(observed.unaskedEnds(), 1)
  })

  it('finds an end by a signal that asks for no end', async () => {
    const observed = run(STAY)
    observed.process.signal('SIGHUP')
    await exited(observed)
    assert.match(
      observed.findings.join(),
      /nobody asked for .*: code none, signal SIGHUP/,
    )
  })

  it('sends signals only once the program can handle them', async () => {
    const observed = run(
      `process.on('SIGHUP', () => console.log('1')); process.on('SIGTERM', () => process.exit(0)); ${STAY}`,
    )
    observed.process.signal('SIGHUP')
    await waitUntil(() => observed.lines.includes('1'))
    observed.process.signal('SIGTERM')
    await exited(observed)
    assert.deepEqual(observed.findings, [])
  })

  it('finds a stop without status 0', async () => {
    const failing = run(`process.on('SIGTERM', () => process.exit(3)); ${STAY}`)
    const unhandled = run(STAY)
    failing.process.signal('SIGTERM')
    unhandled.process.signal('SIGTERM')
    await Promise.all([exited(failing), exited(unhandled)])
    assert.match(failing.findings.join(), /at a stop .*: code 3/)
    assert.match(unhandled.findings.join(), /at a stop .*: code none, signal SIGTERM/)
    assert.equal(failing.unaskedEnds() + unhandled.unaskedEnds(), 0)
  })

  it('kills a process whose stop takes too long', async () => {
    const observed = run(`process.on('SIGTERM', () => {}); ${STAY}`, { stopMs: 300 })
    observed.process.signal('SIGTERM')
    await exited(observed)
    assert.deepEqual(observed.findings, ['ran on 300 ms after SIGTERM'])
  })

  it('counts no time in which the process was frozen as part of a stop', async () => {
    const code = `process.on('SIGTERM', () => setTimeout(process.exit, 100, 0)); ${STAY}`
    const observed = run(code, { stopMs: 800 })
    await observed.process.started
    observed.process.signal('SIGTERM')
    await new Promise((resolve) => setTimeout(resolve, 20))
    observed.process.signal('SIGSTOP')
    await new Promise((resolve) => setTimeout(resolve, 1_200))
    assert.ok(observed.process.isRunning)
    observed.process.signal('SIGCONT')
    await exited(observed)
    assert.deepEqual(observed.findings, [])
  })

  it('finds nothing at a process that it killed', async () => {
    const observed = run(STAY)
    observed.process.signal('SIGKILL')
    await exited(observed)
    assert.deepEqual(observed.findings, [])
  })

  it('finds whole lines that are no JSON, and unforeseen errors', async () => {
    const error = '{"event":"unforeseen_error","err":"x"}'
    const observed = run(
      `console.log('{"event":"start"}'); console.log('{"event":"sta{"event":"stop"}'); console.log('${error}'); console.error('${error}'); process.stdout.write('{"eve'); ${STAY}`,
    )
    await waitUntil(() => observed.lines.length === 4)
    observed.process.signal('SIGKILL')
    await exited(observed)
    // The order of lines of two streams isn't fixed.
    assert.deepEqual([...observed.findings].sort(), [
      'a line is no JSON: {"event":"sta{"event":"stop"}',
      error,
      error,
    ])
  })

  it('limits descriptors', async () => {
    const code = `const { openSync } = require('node:fs')
      for (let i = 0; i < 100; i += 1) openSync('/dev/null')`
    const limited = run(code, { fileLimit: 64 })
    const usual = run(`${code}; process.exit(5)`)
    await Promise.all([exited(limited), exited(usual)])
    assert.match(limited.findings.join(), /EMFILE/)
    assert.match(usual.findings.join(), /code 5/)
  })
})
