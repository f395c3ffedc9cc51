import assert from 'node:assert/strict'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { after, afterEach, before, beforeEach, describe, it } from 'node:test'
import { fileURLToPath } from 'node:url'
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

const REQUESTS = 40
const RESPONSE_MS = 1_000

/** Raises errors in the process that no code handles, on signals that it ignores. */
const RAISE_ERRORS = `
process.on('SIGUSR2', () => {
  setTimeout(() => { throw new Error('raised in a timer') }, 0)
})
process.on('SIGALRM', () => {
  Promise.reject(new Error('rejected'))
})
process.on('SIGPWR', () => {
  for (let i = 0; i < 30; i += 1) {
    setTimeout(() => { throw new Error('raised again and again') }, 0)
  }
})
`

let folder: string
let store: StoreStandin
let replica: ReplicaStandin
let place: GatewayPlace
let daemon: DaemonProcess | undefined

before(async () => {
  folder = await mkdtemp(join(tmpdir(), 'wagtailway-unforeseen-'))
  await writeFile(join(folder, 'raise.mjs'), RAISE_ERRORS)
})

after(async () => {
  await rm(folder, { recursive: true, force: true })
})

beforeEach(async () => {
  store = await StoreStandin.create()
  store.put('config', 'main', fleetConfig({ version: 1, timeoutMs: 10_000 }))
  replica = await ReplicaStandin.create({ id: 'p1', responseMs: () => RESPONSE_MS })
  store.put('servers', 'p1', replica.entry())
})

afterEach(async () => {
  await daemon?.close()
  await place.close()
  await replica.close()
  await store.close()
})

function raising(program: string, args: readonly string[]): DaemonProcess {
  daemon = DaemonProcess.create(['--import', join(folder, 'raise.mjs'), program, ...args])
  return daemon
}

async function startGateway(): Promise<DaemonProcess> {
  place = await createGatewayPlace({ storePort: store.port, graceS: 5 })
  const started = raising(GATEWAY, place.args)
  await waitUntil(() => {
    assert.ok(started.isRunning, started.stderr)
    return place.isReady()
  })
  return started
}

/** Sends requests; resolves to the number of whole answers once all have ended. */
async function wholeAnswers(prefix: string, count: number): Promise<number> {
  const answers = await Promise.all(
    Array.from({ length: count }, (_, i) =>
      sendToFleet({
        port: place.callerPort,
        method: 'POST',
        path: `/once/${prefix}${i}`,
        headers: callerHeaders({ requestId: `${prefix}${i}`, waitMs: 5_000 }),
      }),
    ),
  )
  return answers.filter(({ status, isWhole }) => status === 200 && isWhole).length
}

// Guards against: one error that no code handles ends a process at once with all its requests,
// and leaves no line that tells why.
describe('an error that no code of a gateway handles', () => {
  for (const [signal, kind] of [
    ['SIGUSR2', 'uncaughtException'],
    ['SIGALRM', 'unhandledRejection'],
  ] as const) {
    it(`is logged, counted and drains the process: ${kind}`, async () => {
      const gateway = await startGateway()
      const answers = wholeAnswers('a', REQUESTS)
      await waitUntil(() => replica.runs.length === REQUESTS)
      gateway.signal(signal)
      await waitUntil(() => gateway.lines('unforeseen_error').length > 0)
      assert.equal(await place.isReady(), false)
      const { body } = await sendToFleet({ port: place.metricsPort, path: '/metrics' })
      assert.match(
        body,
        new RegExp(
          `^wagtailway_gateway_unforeseen_errors_total\\{kind="${kind}"\\} 1$`,
          'm',
        ),
      )
      gateway.signal(signal)
      // The balancer still sends some until it has seen that the process is not ready.
      assert.equal(await wholeAnswers('b', 5), 5)
      assert.equal(await answers, REQUESTS)
      assert.deepEqual(await gateway.ended, { status: 70, signal: null }, gateway.stderr)
      const errors = gateway.lines('unforeseen_error')
      assert.deepEqual(
        errors.map((line) => line['kind']),
        [kind, kind],
      )
      assert.match(String(errors[0]?.['stack']), /raise\.mjs/)
      const [exit] = gateway.lines('exit')
      assert.deepEqual([exit?.['reason'], exit?.['status']], ['unforeseen_error', 70])
    })
  }

  it('keeps the answers that are owed if it comes up again and again', async () => {
    const gateway = await startGateway()
    const answers = wholeAnswers('a', 1)
    await waitUntil(() => replica.runs.length === 1)
    gateway.signal('SIGPWR')
    assert.deepEqual(await gateway.ended, { status: 70, signal: null })
    assert.equal(await answers, 1)
    assert.ok(gateway.lines('unforeseen_error').length > 20)
    assert.equal(gateway.lines('exit').length, 1)
  })
})

describe('an error that no code of a router handles', () => {
  it('is logged, counted and drains the process', async () => {
    place = await createGatewayPlace({ storePort: store.port, graceS: 5 })
    const router = raising(ROUTER, [
      ...['--node', 'n1', '--zone', 'z1', '--platform', 'http://127.0.0.1:1'],
      ...['--session-keys', 'some-session-key', '--drain-grace-ms', '600', '--port', '0'],
    ])
    await waitUntil(() => router.stdout.includes('listening') || !router.isRunning)
    router.signal('SIGUSR2')
    await waitUntil(() => router.stderr.includes('unforeseen_error'))
    const port = Number(/listening [\d.]+:(\d+)/.exec(router.stdout)?.[1])
    const { body } = await sendToFleet({ port, path: '/metrics' })
    assert.match(
      body,
      /^wagtailway_unforeseen_errors_total\{kind="uncaughtException"\} 1$/m,
    )
    assert.deepEqual(await router.ended, { status: 70, signal: null }, router.stderr)
    assert.match(router.stderr, /raised in a timer/)
    assert.match(router.stderr, /"leaving"/)
    assert.match(router.stderr, /"reason":"unforeseen_error"/)
  })
})
