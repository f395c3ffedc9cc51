import assert from 'node:assert/strict'
import { execFile } from 'node:child_process'
import { mkdtemp, open, readFile, rm, writeFile, type FileHandle } from 'node:fs/promises'
import { constants } from 'node:os'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { after, afterEach, before, beforeEach, describe, it } from 'node:test'
import { fileURLToPath } from 'node:url'
import { promisify } from 'node:util'
import {
  ReplicaStandin,
  StoreStandin,
  callerHeaders,
  fleetConfig,
} from '@wagtailway/standins'
import { sendToFleet } from '../../fleet/fleetClient.js'
import { waitUntil } from '../../fleet/gatewayHarness.js'
import { DaemonProcess, createGatewayPlace, type GatewayPlace } from '../daemonProcess.js'

const ROOT = fileURLToPath(new URL('../../../../../', import.meta.url))
const GATEWAY = join(ROOT, 'platform/dist/main.js')
const ROUTER = join(ROOT, 'packages/router/bin/wagtailway-router.js')

const STOPPED = { status: 0, signal: null }

/** Signals that are not a request to stop. */
const NO_STOP = ['SIGHUP', 'SIGUSR2', 'SIGALRM', 'SIGPWR'] as const

/** Module hooks that never resolve the library of the command line, and say so once asked. */
const HOLD_LOADING = `
import { writeSync } from 'node:fs'
export async function resolve(specifier, context, next) {
  if (specifier === 'yargs') {
    writeSync(1, 'held\\n')
    await new Promise((resolve) => setTimeout(resolve, 2 ** 30))
  }
  return next(specifier, context)
}
`

let folder: string
let store: StoreStandin
let replica: ReplicaStandin
let place: GatewayPlace
let daemon: DaemonProcess | undefined
let settingsWriter: FileHandle | undefined

before(async () => {
  folder = await mkdtemp(join(tmpdir(), 'wagtailway-signals-'))
  await writeFile(join(folder, 'hooks.mjs'), HOLD_LOADING)
  await writeFile(
    join(folder, 'hold.mjs'),
    `import { register } from 'node:module'; register('./hooks.mjs', import.meta.url)`,
  )
})

after(async () => {
  await rm(folder, { recursive: true, force: true })
})

beforeEach(async () => {
  store = await StoreStandin.create()
  store.put('config', 'main', fleetConfig({ version: 1, timeoutMs: 10_000 }))
  replica = await ReplicaStandin.create({ id: 'p1', responseMs: () => 1_000 })
  store.put('servers', 'p1', replica.entry())
})

afterEach(async () => {
  await settingsWriter?.close()
  settingsWriter = undefined
  await daemon?.close()
  await place.close()
  await replica.close()
  await store.close()
})

async function start(): Promise<DaemonProcess> {
  place = await createGatewayPlace({ storePort: store.port, graceS: 5 })
  const started = (daemon = DaemonProcess.create([GATEWAY, ...place.args]))
  await waitUntil(() => {
    assert.ok(started.isRunning, started.stderr)
    return place.isReady()
  })
  return started
}

async function ask(id: string): Promise<number> {
  const { status, isWhole } = await sendToFleet({
    port: place.callerPort,
    method: 'POST',
    path: `/once/${id}`,
    headers: callerHeaders({ requestId: id, waitMs: 5_000 }),
  })
  return isWhole ? status : 0
}

/** Starts a gateway whose settings come from a pipe; resolves once it waits for them. */
async function startWaitingForSettings(): Promise<DaemonProcess> {
  place = await createGatewayPlace({
    storePort: store.port,
    graceS: 5,
    isWritten: false,
  })
  await promisify(execFile)('mkfifo', [place.settingsPath])
  daemon = DaemonProcess.create([GATEWAY, ...place.args])
  // Resolves once the other end is open, too.
  settingsWriter = await open(place.settingsPath, 'w')
  return daemon
}

/** Whether the process has a handler of its own for the signal. */
async function isCaught(pid: number, signal: NodeJS.Signals): Promise<boolean> {
  const status = await readFile(`/proc/${pid}/status`, 'utf8')
  const mask = BigInt(`0x${/^SigCgt:\s*([0-9a-f]+)$/m.exec(status)?.[1] ?? '0'}`)
  return ((mask >> BigInt(constants.signals[signal] - 1)) & 1n) === 1n
}

// Guards against: a signal that is no request to stop ends a process with its requests, and
// a request to stop ends it without a stop, because no handler is registered for it (yet).
describe('signals before a gateway serves', () => {
  it('change nothing unless they ask for a stop', async () => {
    const waiting = await startWaitingForSettings()
    for (const signal of [...NO_STOP, ...NO_STOP]) waiting.signal(signal)
    await settingsWriter?.writeFile(place.settings)
    await settingsWriter?.close()
    settingsWriter = undefined
    await waitUntil(() => {
      assert.ok(waiting.isRunning, JSON.stringify(waiting.stderr))
      return place.isReady()
    })
    assert.equal(await ask('r1'), 200)
  })

  for (const signal of ['SIGTERM', 'SIGINT', 'SIGQUIT'] as const) {
    it(`stop it with 0: ${signal}`, async () => {
      const waiting = await startWaitingForSettings()
      waiting.signal(signal)
      await waitUntil(() => waiting.stderr.includes('"exit"') || !waiting.isRunning)
      // The runtime joins the thread that reads the settings before it ends.
      await settingsWriter?.close()
      settingsWriter = undefined
      assert.deepEqual(await waiting.ended, STOPPED, waiting.stderr)
    })
  }

  it('do so from the moment at which the first handler is registered', async () => {
    for (const signal of ['SIGTERM', 'SIGINT'] as const) {
      place = await createGatewayPlace({ storePort: store.port, graceS: 5 })
      const started = (daemon = DaemonProcess.create([GATEWAY, ...place.args]))
      while (started.isRunning && !(await isCaught(started.pid, 'SIGHUP')));
      started.signal('SIGHUP')
      started.signal(signal)
      assert.deepEqual(await started.ended, STOPPED, started.stderr)
      await place.close()
    }
  })
})

describe('signals while the program is loading', () => {
  for (const [name, program] of [
    ['gateway', GATEWAY],
    ['router', ROUTER],
  ] as const) {
    for (const signal of ['SIGTERM', 'SIGINT'] as const) {
      it(`don't end a ${name}, but for ${signal}, with 0`, async () => {
        place = await createGatewayPlace({ storePort: store.port, graceS: 5 })
        const args = ['--import', join(folder, 'hold.mjs'), program]
        const held = (daemon = DaemonProcess.create(args))
        await waitUntil(() => held.stdout.includes('held') || !held.isRunning)
        for (const other of NO_STOP) held.signal(other)
        held.signal(signal)
        assert.deepEqual(await held.ended, STOPPED, held.stderr)
      })
    }
  }
})

describe('signals while a gateway serves', () => {
  it('change nothing unless they ask for a stop', async () => {
    const running = await start()
    const answers = Array.from({ length: 20 }, (_, i) => ask(`r${i}`))
    await waitUntil(() => replica.runs.length > 0)
    for (const signal of [...NO_STOP, ...NO_STOP, ...NO_STOP]) running.signal(signal)
    assert.deepEqual(
      await Promise.all(answers),
      answers.map(() => 200),
    )
    assert.ok(running.isRunning)
  })

  for (const signal of ['SIGTERM', 'SIGINT', 'SIGQUIT'] as const) {
    it(`stop it with 0 after the requests in progress: ${signal}, and more of them change nothing`, async () => {
      const running = await start()
      const answers = Array.from({ length: 20 }, (_, i) => ask(`r${i}`))
      await waitUntil(() => replica.runs.length > 0)
      running.signal(signal)
      const timer = setInterval(() => {
        for (const other of ['SIGTERM', 'SIGINT', 'SIGQUIT', ...NO_STOP] as const)
          running.signal(other)
      }, 100)
      assert.deepEqual(
        await Promise.all(answers),
        answers.map(() => 200),
      )
      assert.deepEqual(await running.ended, STOPPED, running.stderr)
      clearInterval(timer)
    })
  }
})

describe('signals while a router runs', () => {
  async function startRouter(): Promise<DaemonProcess> {
    place = await createGatewayPlace({ storePort: store.port, graceS: 5 })
    const args = [
      ...['--node', 'n1', '--zone', 'z1', '--platform', 'http://127.0.0.1:1'],
      ...['--session-keys', 'some-session-key', '--drain-grace-ms', '400', '--port', '0'],
    ]
    const started = (daemon = DaemonProcess.create([ROUTER, ...args]))
    await waitUntil(() => started.stdout.includes('listening') || !started.isRunning)
    assert.ok(started.isRunning, started.stderr)
    return started
  }

  for (const signal of ['SIGTERM', 'SIGINT', 'SIGQUIT'] as const) {
    it(`end it with 0 after ${signal} alone; more of them change nothing`, async () => {
      const running = await startRouter()
      for (const other of NO_STOP) running.signal(other)
      running.signal(signal)
      const timer = setInterval(() => {
        for (const other of ['SIGTERM', 'SIGINT', 'SIGQUIT', ...NO_STOP] as const)
          running.signal(other)
      }, 50)
      assert.deepEqual(await running.ended, STOPPED, running.stderr)
      clearInterval(timer)
      assert.match(running.stderr, /"leaving"/)
    })
  }
})
