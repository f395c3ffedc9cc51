import assert from 'node:assert/strict'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { Agent } from 'node:http'
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
import {
  sendToFleet,
  type FleetRequest,
  type FleetResponse,
} from '../../fleet/fleetClient.js'
import { waitUntil } from '../../fleet/gatewayHarness.js'
import { DaemonProcess, createGatewayPlace, type GatewayPlace } from '../daemonProcess.js'

const GATEWAY = fileURLToPath(
  new URL('../../../../../platform/dist/main.js', import.meta.url),
)

const COUNT = 8
/**
 * Raises an error in a callback of each request to a backend server whose path ends with the
 * name of the callback.
 */
const RAISE_ERRORS = `
import http from 'node:http'
import { syncBuiltinESMExports } from 'node:module'

const fail = (name) => { throw new Error('raised in ' + name) }
const raise = {
  timer: (name) => setTimeout(() => fail(name), 50),
  interval: (name) => { const t = setInterval(() => { clearInterval(t); fail(name) }, 50) },
  immediate: (name) => setImmediate(() => fail(name)),
  rejection: (name) => { setTimeout(() => { void Promise.reject(new Error('raised in ' + name)) }, 50) },
  socket: (name, req) => req.prependListener('socket', () => fail(name)),
  response: (name, req) => req.prependListener('response', () => fail(name)),
  data: (name, req) => req.once('response', (res) => res.once('data', () => fail(name))),
  end: (name, req) => req.once('response', (res) => res.prependListener('end', () => fail(name))),
  close: (name, req) => req.prependListener('close', () => fail(name)),
}
const { request } = http
http.request = (opts, ...rest) => {
  const req = request(opts, ...rest)
  const [, name] = /-([a-z]+)$/.exec(opts.path ?? '') ?? []
  raise[name]?.(name, req)
  return req
}
const { createServer } = http
http.createServer = (opts, listener) =>
  createServer(opts, (req, res) => {
    if (req.url.endsWith('-body')) req.prependListener('data', () => fail('body'))
    return listener(req, res)
  })
syncBuiltinESMExports()
`

const CALLBACKS = [
  ...['timer', 'interval', 'immediate', 'rejection', 'socket', 'response', 'data', 'end'],
  'close',
] as const

let folder: string
let store: StoreStandin
let plain: ReplicaStandin
let models: ReplicaStandin
let place: GatewayPlace
let gateway: DaemonProcess

before(async () => {
  folder = await mkdtemp(join(tmpdir(), 'wagtailway-owned-'))
  await writeFile(join(folder, 'raise.mjs'), RAISE_ERRORS)
})

after(async () => {
  await rm(folder, { recursive: true, force: true })
})

beforeEach(async () => {
  store = await StoreStandin.create()
  store.put('config', 'main', fleetConfig({ version: 1, timeoutMs: 5_000 }))
  plain = await ReplicaStandin.create({ id: 'p1', responseMs: () => 150 })
  models = await ReplicaStandin.create({ id: 'm1', events: 20, eventMs: 20 })
  store.put('servers', 'p1', plain.entry())
  store.put('servers', 'm1', models.entry({ service: 'models' }))
  place = await createGatewayPlace({ storePort: store.port, graceS: 3 })
  gateway = DaemonProcess.create([
    ...['--import', join(folder, 'raise.mjs')],
    ...[GATEWAY, ...place.args],
  ])
  await waitUntil(() => {
    assert.ok(gateway.isRunning, gateway.stderr)
    return place.isReady()
  })
})

afterEach(async () => {
  await gateway.close()
  await place.close()
  await plain.close()
  await models.close()
  await store.close()
})

function send(
  path: string,
  opts: Pick<FleetRequest, 'agent' | 'body'> = {},
): Promise<FleetResponse> {
  const headers = callerHeaders({
    requestId: path,
    waitMs: 4_000,
    isStream: path.startsWith('/notes/'),
  })
  const { callerPort: port } = place
  return sendToFleet({ port, method: 'POST', path, headers, ...opts })
}

async function readMetric(pattern: RegExp): Promise<number> {
  const { body } = await sendToFleet({ port: place.metricsPort, path: '/metrics' })
  return Number(pattern.exec(body)?.[1] ?? 0)
}

// Guards against: an error in a callback of one request drains the process with all others.
describe('an error in a callback of one request', () => {
  for (const path of ['/once/', '/plain/', '/notes/']) {
    for (const callback of CALLBACKS) {
      it(`ends that request alone: ${path}, ${callback}`, async () => {
        const sound = Promise.all(
          Array.from({ length: COUNT }, (_, i) => send(`${path}sound${i}`)),
        )
        const startedAtMs = performance.now()
        const failed = await send(`${path}bad-${callback}`)
        assert.ok(performance.now() - startedAtMs < 3_000, 'its caller is told at once')
        assert.ok([0, 200, 502].includes(failed.status), `${failed.status}`)
        const whole = (await sound).filter(
          ({ status, isWhole }) => status === 200 && isWhole,
        )
        assert.equal(whole.length, COUNT)
        assert.equal((await send(`${path}after`)).status, 200)
        assert.ok(await place.isReady())
        assert.deepEqual(gateway.lines('unforeseen_error'), [])
        const [line] = gateway.lines('exchange_failed')
        assert.equal(line?.['work'], 'request')
        assert.equal(line['id'], `${path}bad-${callback}`)
        assert.match(String(line['stack']), /raised in/)
        await waitUntil(
          async () =>
            (await readMetric(/^wagtailway_gateway_requests_in_progress (\d+)$/m)) === 0,
        )
      })
    }
  }

  // The runtime's parser takes nothing more on the connection.
  it('in an event of its body closes its connection, so that none comes after it', async () => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 })
    try {
      const failed = await send('/once/bad-body', { agent, body: 'a' })
      assert.ok([0, 502].includes(failed.status), `${failed.status}`)
      assert.notEqual(failed.headers.connection, 'keep-alive')
      assert.equal((await send('/once/after', { agent, body: 'a' })).status, 200)
    } finally {
      agent.destroy()
    }
  })
})
