import assert from 'node:assert/strict'
import { writeFile } from 'node:fs/promises'
import { createServer } from 'node:net'
import { join } from 'node:path'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { fileURLToPath } from 'node:url'
import { ReplicaStandin, StoreStandin, fleetConfig } from '@wagtailway/standins'
import { sendToFleet } from '../../fleet/fleetClient.js'
import { waitUntil } from '../../fleet/gatewayHarness.js'
import {
  DaemonProcess,
  createGatewayPlace,
  type GatewayPlace,
  type LoggedLine,
} from '../daemonProcess.js'

const ROOT = fileURLToPath(new URL('../../../../../', import.meta.url))
const GATEWAY = join(ROOT, 'platform/dist/main.js')
const ROUTER = join(ROOT, 'packages/router/bin/wagtailway-router.js')

let store: StoreStandin
let replica: ReplicaStandin
let place: GatewayPlace
let daemon: DaemonProcess | undefined

beforeEach(async () => {
  store = await StoreStandin.create()
  store.put('config', 'main', fleetConfig({ version: 1 }))
  replica = await ReplicaStandin.create({ id: 'p1' })
  store.put('servers', 'p1', replica.entry())
  place = await createGatewayPlace({ storePort: store.port, graceS: 4 })
})

afterEach(async () => {
  await daemon?.close()
  await place.close()
  await replica.close()
  await store.close()
})

function run(program: string, args: readonly string[]): DaemonProcess {
  daemon = DaemonProcess.create([program, ...args])
  return daemon
}

async function startGateway(): Promise<DaemonProcess> {
  // As small as in the deploy file, so that collections come soon.
  const gateway = run('--max-semi-space-size=2', [GATEWAY, ...place.args])
  await waitUntil(() => {
    assert.ok(gateway.isRunning, gateway.stderr)
    return place.isReady()
  })
  return gateway
}

/** The last line of standard error, which tells the end while there is no log. */
function lastError({ stderr }: DaemonProcess): LoggedLine {
  return JSON.parse(stderr.trimEnd().split('\n').at(-1) ?? '') as LoggedLine
}

// Guards against: a process is gone and neither its status nor a line tells why.
describe('the end of a process tells its reason', () => {
  it('stopped: status 0, the signal, after the line of the stop', async () => {
    const gateway = await startGateway()
    gateway.signal('SIGINT')
    assert.deepEqual(await gateway.ended, { status: 0, signal: null })
    const [exit] = gateway.lines('exit')
    assert.deepEqual(
      [exit?.['reason'], exit?.['status'], exit?.['signal']],
      ['stopped', 0, 'SIGINT'],
    )
    assert.equal(gateway.lines('stop').length, 1)
  })

  it('bad_settings: status 2, and a message with the file and the field', async () => {
    await writeFile(place.settingsPath, place.settings.replace(/^zone.*$/m, 'zone = 7'))
    const gateway = run(GATEWAY, place.args)
    assert.deepEqual(await gateway.ended, { status: 2, signal: null })
    assert.ok(gateway.stderr.startsWith(`${place.settingsPath}: zone`), gateway.stderr)
    assert.deepEqual(lastError(gateway), {
      event: 'exit',
      reason: 'bad_settings',
      status: 2,
    })
  })

  it('bad_settings: no settings file, unknown or wrong arguments', async () => {
    for (const [args, message] of [
      [['--settings', join(place.folder, 'none')], /ENOENT/],
      [['--metrics-prot', '7'], /metrics-prot/],
      [['--least-confidence', 'much'], /expected numbers from 0 to 101/],
    ] as const) {
      const gateway = run(GATEWAY, args)
      assert.deepEqual(await gateway.ended, { status: 2, signal: null })
      assert.match(gateway.stderr, message)
      assert.equal(lastError(gateway)['reason'], 'bad_settings')
    }
  })

  it('bad_settings of a router', async () => {
    const router = run(ROUTER, ['--node', 'n1'])
    assert.deepEqual(await router.ended, { status: 2, signal: null })
    assert.match(router.stderr, /--zone/)
    assert.equal(lastError(router)['reason'], 'bad_settings')
  })

  it('start_failed of a router: status 1, if its port is in use', async () => {
    const holder = createServer()
    await new Promise<void>((resolve) => holder.listen(0, '127.0.0.1', resolve))
    const address = holder.address()
    const port = typeof address === 'object' ? (address?.port ?? 0) : 0
    const router = run(ROUTER, [
      ...['--node', 'n1', '--zone', 'z1', '--platform', 'http://127.0.0.1:1'],
      ...['--session-keys', 'some-session-key', '--port', `${port}`],
    ])
    assert.deepEqual(await router.ended, { status: 1, signal: null })
    assert.match(router.stderr, /EADDRINUSE/)
    assert.match(router.stderr, /"start_failed"/)
    holder.close()
  })
})

describe('the metrics page of a gateway', () => {
  it('has memory, descriptors, processor time, collections and the loop delay', async () => {
    await startGateway()
    const readMetrics = () => sendToFleet({ port: place.metricsPort, path: '/metrics' })
    // The loop delay and the collections come with time; each read of the page allocates.
    await waitUntil(async () => {
      const { body } = await readMetrics()
      return [
        /^wagtailway_gateway_loop_delay_seconds \S*[1-9]/m,
        /^nodejs_gc_duration_seconds_count\{kind="minor"\} [1-9]/m,
      ].every((line) => line.test(body))
    })
    const { body } = await readMetrics()
    for (const name of [
      'process_resident_memory_bytes',
      'nodejs_heap_size_used_bytes',
      'process_open_fds',
      'process_max_fds',
      'process_cpu_seconds_total',
      'process_start_time_seconds',
    ]) {
      const line = body.split('\n').find((text) => text.startsWith(`${name} `))
      assert.ok(Number(line?.split(' ').at(-1)) > 0, `${name}: ${line ?? 'missing'}`)
    }
  })
})
