import assert from 'node:assert/strict'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { connect } from 'node:net'
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
import { eventIds, sendToFleet, type FleetResponse } from '../../fleet/fleetClient.js'
import { waitUntil } from '../../fleet/gatewayHarness.js'
import { DaemonProcess, createGatewayPlace, type GatewayPlace } from '../daemonProcess.js'

const GATEWAY = fileURLToPath(
  new URL('../../../../../platform/dist/main.js', import.meta.url),
)

const GRACE_S = 3
const ANSWER_MS = 6_000
const EVENTS = 30
const EVENT_MS = 250
const COUNT = 12

/** Raises an error that belongs to no request, on a signal that the gateway ignores. */
const RAISE_ERROR = `
process.on('SIGUSR2', () => {
  setTimeout(() => { throw new Error('raised in a timer') }, 0)
})
`

let folder: string
let store: StoreStandin
let plain: ReplicaStandin
let models: ReplicaStandin
let place: GatewayPlace
let gateway: DaemonProcess | undefined

before(async () => {
  folder = await mkdtemp(join(tmpdir(), 'wagtailway-drain-'))
  await writeFile(join(folder, 'raise.mjs'), RAISE_ERROR)
})

after(async () => {
  await rm(folder, { recursive: true, force: true })
})

beforeEach(async () => {
  store = await StoreStandin.create()
  store.put('config', 'main', fleetConfig({ version: 1, timeoutMs: 15_000 }))
  plain = await ReplicaStandin.create({ id: 'p1', responseMs: () => ANSWER_MS })
  models = await ReplicaStandin.create({ id: 'm1', events: EVENTS, eventMs: EVENT_MS })
  store.put('servers', 'p1', plain.entry())
  store.put('servers', 'm1', models.entry({ service: 'models' }))
  place = await createGatewayPlace({ storePort: store.port, graceS: GRACE_S })
})

afterEach(async () => {
  await gateway?.close()
  await place.close()
  await plain.close()
  await models.close()
  await store.close()
})

async function startGateway(): Promise<DaemonProcess> {
  const started = DaemonProcess.create([
    ...['--import', join(folder, 'raise.mjs')],
    ...[GATEWAY, ...place.args],
  ])
  gateway = started
  await waitUntil(() => {
    assert.ok(started.isRunning, started.stderr)
    return place.isReady()
  })
  return started
}

function send(path: string): Promise<FleetResponse> {
  const headers = callerHeaders({
    requestId: path,
    waitMs: 14_000,
    isStream: path.startsWith('/notes/'),
  })
  const { callerPort: port } = place
  return sendToFleet({ port, method: 'POST', path, headers, timeoutMs: 20_000 })
}

function sendAll(prefix: string): Promise<FleetResponse[]> {
  return Promise.all(Array.from({ length: COUNT }, (_, i) => send(`${prefix}${i}`)))
}

function countWhole(responses: readonly FleetResponse[]): number {
  return responses.filter(({ status, isWhole }) => status === 200 && isWhole).length
}

// Guards against: the drain after an error that no code handles ends after the grace period
// of a supervisor that has asked for nothing, and cuts the answers that take longer.
describe('the drain after an unforeseen error', () => {
  it('lasts until the last answer that is owed', async () => {
    const started = await startGateway()
    const answers = sendAll('/once/a')
    const streams = sendAll('/notes/s')
    await waitUntil(() => plain.runs.length === COUNT && models.runs.length >= COUNT)
    started.signal('SIGUSR2')
    assert.equal(countWhole(await answers), COUNT)
    const streamed = await streams
    assert.equal(countWhole(streamed), COUNT)
    for (const { body } of streamed) assert.equal(eventIds(body).length, EVENTS)
    assert.deepEqual(await started.ended, { status: 70, signal: null }, started.stderr)
    assert.deepEqual(started.lines('answers_cut'), [])
  })

  it('ends within the grace period of a stop that is asked for meanwhile', async () => {
    const started = await startGateway()
    const answers = sendAll('/once/a')
    await waitUntil(() => plain.runs.length === COUNT)
    started.signal('SIGUSR2')
    await waitUntil(() => started.lines('unforeseen_error').length > 0)
    const stoppedAtMs = performance.now()
    started.signal('SIGTERM')
    assert.deepEqual(await started.ended, { status: 70, signal: null }, started.stderr)
    assert.ok(performance.now() - stoppedAtMs < GRACE_S * 1_000)
    assert.equal(started.lines('exit')[0]?.['signal'], 'SIGTERM')
    await answers
  })

  it('is not held up by a silent connection once nothing is owed', async () => {
    const started = await startGateway()
    plain.behaviour = () => 'shed'
    assert.equal((await send('/once/a')).status, 503)
    // Neither asks for anything nor closes its side.
    const silent = connect(place.callerPort, '127.0.0.1')
    silent.on('error', () => undefined)
    await new Promise((resolve) => silent.once('connect', resolve))
    const startedAtMs = performance.now()
    started.signal('SIGUSR2')
    await started.ended
    silent.destroy()
    const tookMs = performance.now() - startedAtMs
    assert.ok(tookMs < 9_000, `${tookMs} ms`)
  })

  it('keeps the lines of the error and of the end while the log drops others', async () => {
    const started = await startGateway()
    const flood = setInterval(() => {
      for (let i = 0; i < 50; i += 1) void send('/unknown')
    }, 50)
    try {
      await waitUntil(() => started.lines('log_lines_dropped').length > 0)
      started.signal('SIGUSR2')
      await started.ended
    } finally {
      clearInterval(flood)
    }
    const [error] = started.lines('unforeseen_error')
    assert.match(String(error?.['stack']), /raise\.mjs/)
    assert.equal(started.lines('leaving').length, 1)
    assert.equal(started.lines('exit')[0]?.['reason'], 'unforeseen_error')
  })
})
