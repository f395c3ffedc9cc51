import assert from 'node:assert/strict'
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { fileURLToPath } from 'node:url'
import { sendToFleet } from '../../fleet/fleetClient.js'
import { waitUntil } from '../../fleet/gatewayHarness.js'
import { DaemonProcess } from '../../processLife/daemonProcess.js'
import { parseRecords, type ThrowOrder, type ThrowRecords } from '../throwOrder.js'

const ROUTER = fileURLToPath(
  new URL('../../../../router/bin/wagtailway-router.js', import.meta.url),
)
const PRELOAD = new URL('../preload.js', import.meta.url).href

let folder: string
let router: DaemonProcess

function order(content: ThrowOrder): Promise<void> {
  return writeFile(join(folder, 'order'), JSON.stringify(content))
}

async function readRecords(): Promise<ThrowRecords> {
  return parseRecords(await readFile(join(folder, 'records'), 'utf8').catch(() => ''))
}

beforeEach(async () => {
  folder = await mkdtemp(join(tmpdir(), 'wagtailway-preload-'))
  process.env['THROW_FAULTS_ORDER'] = join(folder, 'order')
  process.env['THROW_FAULTS_RECORDS'] = join(folder, 'records')
})

afterEach(async () => {
  await router.close()
  await rm(folder, { recursive: true, force: true })
})

describe('the module loaded into a router', () => {
  it('throws where it is told to, from then on, and records it', async () => {
    router = DaemonProcess.create([
      ...['--import', PRELOAD, ROUTER, '--node', 'n1', '--zone', 'z1', '--port', '0'],
      ...['--platform', 'http://127.0.0.1:1', '--session-keys', 'some-session-key'],
      ...['--drain-grace-ms', '600'],
    ])
    await waitUntil(() => router.stdout.includes('listening') || !router.isRunning)
    const port = Number(/listening [\d.]+:(\d+)/.exec(router.stdout)?.[1])
    let place: string | undefined
    await waitUntil(async () => {
      assert.equal((await sendToFleet({ port, path: '/metrics' })).status, 200)
      const { calls, throws } = await readRecords()
      assert.deepEqual(throws, [])
      const called = calls.flatMap((record) => Object.entries(record.calls))
      const isRequest = ([name, count]: [string, number]): boolean =>
        count > 0 && name.startsWith('router/') && name.endsWith(' createServer')
      place = called.find(isRequest)?.[0]
      return place !== undefined
    })
    assert.ok(place !== undefined)
    await order({ mode: 'place', place, call: 1, when: 'before' })
    await waitUntil(async () => {
      await sendToFleet({ port, path: '/metrics', timeoutMs: 100 })
      return (await readRecords()).throws.length > 0
    })
    const [{ sequence, call, when } = {}, ...others] = (await readRecords()).throws
    assert.deepEqual([sequence, call, when, others], [1, 1, 'before', []])
    await waitUntil(() =>
      router.stderr.includes(`thrown before the callback of ${place}`),
    )
  })
})
