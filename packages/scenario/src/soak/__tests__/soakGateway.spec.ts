import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { StoreStandin, fleetConfig } from '@wagtailway/standins'
import { sendToFleet } from '../../fleet/fleetClient.js'
import { findFreePorts } from '../../fleet/freePorts.js'
import { waitUntil } from '../../fleet/gatewayHarness.js'
import { SoakGateway } from '../soakGateway.js'

const HOST = '127.0.0.1'

let store: StoreStandin
let gateway: SoakGateway

async function responds(): Promise<boolean> {
  const { status } = await sendToFleet({ port: gateway.opts.ports.callers, path: '/' })
  return status !== 0
}

beforeEach(async () => {
  store = await StoreStandin.create()
  store.put('config', 'main', fleetConfig({ version: 1 }))
  store.put('servers', 's1', {
    service: 'plain',
    address: `${HOST}:1`,
    version: 'v1',
    state: 'ready',
  })
  const [callers = 0, readiness = 0, control = 0, peers = 0, metrics = 0] =
    await findFreePorts(5)
  gateway = await SoakGateway.create({
    name: 'n1',
    host: HOST,
    seeds: [],
    ports: { callers, readiness, control, peers, metrics },
    storePort: store.port,
  })
  await waitUntil(() => {
    assert.ok(gateway.isRunning, gateway.logLines.join('\n'))
    return gateway.isReady()
  })
})

afterEach(async () => {
  await gateway.close()
  await store.close()
})

describe('SoakGateway', () => {
  it('leaves no process running after restarts that overlap', async () => {
    gateway.restart('SIGTERM', 50)
    gateway.restart('SIGKILL', 50)
    gateway.restart('SIGKILL', 50)
    await waitUntil(async () => gateway.startCount === 2 && (await gateway.isReady()))
    await gateway.close()
    assert.equal(await responds(), false)
    assert.equal(gateway.startCount, 2)
  })

  it('starts no process after it was closed', async () => {
    gateway.restart('SIGKILL', 50)
    await gateway.close()
    await new Promise((resolve) => setTimeout(resolve, 300))
    assert.equal(gateway.startCount, 1)
    assert.equal(await responds(), false)
  })

  it('refuses a second start while its process is running', () => {
    assert.throws(() => {
      gateway.start()
    }, /is running/)
  })

  it('starts a process that ended by itself again and tells its end', async () => {
    await gateway.close()
    const folder = await mkdtemp(join(tmpdir(), 'wagtailway-soak-'))
    const program = join(folder, 'program.mjs')
    await writeFile(program, 'process.exitCode = 7')
    gateway = await SoakGateway.create({ ...gateway.opts, program, isSupervised: true })
    await waitUntil(() => gateway.startCount > 2 && gateway.findings.length > 1)
    await rm(folder, { recursive: true })
    assert.match(gateway.findings[0] ?? '', /^n1: end that nobody asked for .*: code 7/)
    assert.deepEqual(gateway.downPeriods, [])
  })

  it('keeps the periods in which it was kept from serving', async () => {
    const beforeMs = performance.now()
    gateway.restart('SIGKILL', 50)
    await waitUntil(async () => gateway.startCount === 2 && (await gateway.isReady()))
    const [period] = gateway.downPeriods
    assert.equal(gateway.downPeriods.length, 1)
    assert.ok(period && period.fromMs >= beforeMs)
    assert.ok(period.untilMs > performance.now() && period.untilMs < Infinity)
  })
})
