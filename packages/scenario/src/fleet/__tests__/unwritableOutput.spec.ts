/**
 * A gateway whose log can't be written must serve on and stop in time: a write to standard
 * output that failed used to end the process with all requests in progress, and a reader that
 * paused kept it from exiting.
 */
import assert from 'node:assert/strict'
import { spawn, type ChildProcess, type StdioOptions } from 'node:child_process'
import { closeSync, mkdtempSync, openSync, rmSync } from 'node:fs'
import { writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { fileURLToPath } from 'node:url'
import {
  ReplicaStandin,
  StoreStandin,
  callerHeaders,
  fleetConfig,
  settingsFile,
} from '@wagtailway/standins'
import { sendToFleet } from '../fleetClient.js'
import { findFreePorts } from '../freePorts.js'
import { waitUntil } from '../gatewayHarness.js'

const PROGRAM = fileURLToPath(
  new URL('../../../../../platform/dist/main.js', import.meta.url),
)

const HOST = '127.0.0.1'
const GRACE_S = 4

/** Requests whose lines together are longer than a pipe and the queue of lines. */
const BURST_REQUESTS = 350
const LONG_ID = 'x'.repeat(2_000)

let store: StoreStandin
let replica: ReplicaStandin
let folder: string
let child: ChildProcess | undefined
let ports: { callers: number; readiness: number; metrics: number }

/** Starts a gateway; `shell` is run before it in the same process. */
async function start(stdio: StdioOptions, shell = ''): Promise<ChildProcess> {
  const [callers = 0, readiness = 0, control = 0, peers = 0, metrics = 0] =
    await findFreePorts(5)
  ports = { callers, readiness, metrics }
  const settings = join(folder, 'local.toml')
  await writeFile(
    settings,
    settingsFile({
      name: 'n1',
      host: HOST,
      seeds: [],
      ports: { ...ports, control, peers },
      store: `${HOST}:${store.port}`,
      graceS: GRACE_S,
      sessionS: 1,
    }),
  )
  const args = [PROGRAM, '--settings', settings, '--metrics-port', `${metrics}`]
  const started = spawn(
    'bash',
    ['-c', `${shell} exec "$@"`, 'bash', process.execPath, ...args],
    { stdio },
  )
  child = started
  await waitUntil(async () => {
    assert.equal(exitOf(started), undefined, 'the process has ended')
    const res = await sendToFleet({ port: readiness, path: '/-/readiness' })
    return res.status === 200
  })
  return started
}

/** Exit code or signal of a process, `undefined` while it runs. */
function exitOf(ended: ChildProcess): number | string | undefined {
  return ended.exitCode ?? ended.signalCode ?? undefined
}

/** Sends requests one after the other on several connections; returns their statuses. */
async function sendRequests(count: number): Promise<Set<number>> {
  const statuses = new Set<number>()
  let sent = 0
  const sendNext = async (): Promise<void> => {
    while (sent < count) {
      sent += 1
      const id = `r${sent}`
      const res = await sendToFleet({
        port: ports.callers,
        path: `/plain/${id}`,
        headers: callerHeaders({ requestId: `${id}-${LONG_ID}` }),
      })
      statuses.add(res.status)
    }
  }
  await Promise.all(Array.from({ length: 4 }, sendNext))
  return statuses
}

async function stop(stopped: ChildProcess): Promise<number | string | undefined> {
  const exited = new Promise((resolve) => stopped.once('exit', resolve))
  stopped.kill('SIGTERM')
  const timer = setTimeout(() => stopped.kill('SIGKILL'), GRACE_S * 1_000)
  await exited
  clearTimeout(timer)
  return exitOf(stopped)
}

/** Lines that were dropped because the output did not take them. */
async function droppedByOutput(): Promise<number> {
  const { body } = await sendToFleet({ port: ports.metrics, path: '/metrics' })
  const count = /^wagtailway_gateway_log_lines_dropped_total\{reason="output"\} (\d+)/m
  return Number(count.exec(body)?.[1] ?? 0)
}

beforeEach(async () => {
  folder = mkdtempSync(join(tmpdir(), 'wagtailway-output-'))
  store = await StoreStandin.create()
  store.put('config', 'main', fleetConfig({ version: 1 }))
  replica = await ReplicaStandin.create({ id: 'p1', responseMs: () => 1 })
  store.put('servers', 'p1', replica.entry())
})

afterEach(async () => {
  child?.kill('SIGKILL')
  await replica.close()
  await store.close()
  rmSync(folder, { recursive: true, force: true })
})

describe('A gateway serves and stops in time', () => {
  it('after the reader of its log has gone', async () => {
    const gateway = await start(['ignore', 'pipe', 'inherit'])
    gateway.stdout?.destroy()
    assert.deepEqual([...(await sendRequests(100))], [200])
    assert.equal(await stop(gateway), 0)
  })

  it('while the reader of its log pauses', async () => {
    const gateway = await start(['ignore', 'pipe', 'inherit'])
    gateway.stdout?.pause()
    assert.deepEqual([...(await sendRequests(BURST_REQUESTS))], [200])
    assert.ok((await droppedByOutput()) > 0, 'more lines than the output takes')
    assert.equal(await stop(gateway), 0)
  })

  it('while the reader of its log pauses on a pipe that blocks', async () => {
    const fifo = join(folder, 'fifo')
    // The process keeps the reading end itself and never reads.
    const shell = `mkfifo '${fifo}'; exec 3<>'${fifo}' >'${fifo}';`
    const gateway = await start(['ignore', 'ignore', 'inherit'], shell)
    assert.deepEqual([...(await sendRequests(BURST_REQUESTS))], [200])
    assert.equal(await stop(gateway), 0)
  })

  it('with its log on a full disk', async () => {
    const full = openSync('/dev/full', 'w')
    const gateway = await start(['ignore', full, 'inherit'])
    closeSync(full)
    assert.deepEqual([...(await sendRequests(100))], [200])
    assert.equal(await stop(gateway), 0)
  })

  it('with its log at a limit of file size', async () => {
    const file = openSync(join(folder, 'log'), 'w')
    const gateway = await start(['ignore', file, 'inherit'], 'ulimit -f 4;')
    closeSync(file)
    assert.deepEqual([...(await sendRequests(100))], [200])
    assert.equal(await stop(gateway), 0)
  })

  it('with its log closed', async () => {
    const gateway = await start(['ignore', 'ignore', 'ignore'], 'exec >&- 2>&-;')
    assert.deepEqual([...(await sendRequests(100))], [200])
    assert.equal(await stop(gateway), 0)
  })
})

describe('A log whose reader has paused', () => {
  it('goes on with whole lines and tells how many were dropped', async () => {
    const gateway = await start(['ignore', 'pipe', 'inherit'])
    const { stdout } = gateway
    assert.ok(stdout)
    let text = ''
    stdout.on('data', (chunk: Buffer) => (text += chunk.toString()))
    stdout.pause()
    await sendRequests(BURST_REQUESTS)
    const dropped = await droppedByOutput()
    stdout.resume()
    await waitUntil(async () => {
      await sendRequests(1)
      return text.includes('"log_lines_dropped"')
    })
    assert.equal(await stop(gateway), 0)
    const lines = text.split('\n').filter((line) => line !== '')
    const events = lines.map((line) => JSON.parse(line) as Record<string, unknown>)
    const reports = events.filter(({ event }) => event === 'log_lines_dropped')
    const reported = reports.reduce((sum, report) => sum + Number(report['dropped']), 0)
    assert.ok(reported >= dropped, `${reported} reported, ${dropped} counted`)
    const last = events.slice(-2).map(({ event, reason }) => [event, reason])
    assert.deepEqual(last, [
      ['stop', undefined],
      ['exit', 'stopped'],
    ])
  })
})
