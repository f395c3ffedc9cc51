import assert from 'node:assert/strict'
import { createServer, type AddressInfo, type Server } from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { seededRandom } from '@wagtailway/core'
import type { BackendServer } from '../../model/backendServer.js'
import { PathTable } from '../pathTable.js'
import { ServerDialer } from '../serverDialer.js'

/** Time in which a lost path is checked twice, in milliseconds. */
const TWO_CHECKS_MS = 1_200

let backend: Server
let connectionCount = 0
let server: BackendServer
let paths: PathTable
let dialer: ServerDialer
let isOpen: () => boolean

beforeEach(async () => {
  connectionCount = 0
  backend = createServer((socket) => {
    connectionCount += 1
    socket.on('error', () => undefined)
  })
  await new Promise<void>((resolve) => backend.listen(0, '127.0.0.1', resolve))
  const { port } = backend.address() as AddressInfo
  server = {
    id: 's1',
    startedAtMs: 1,
    service: 'plain',
    host: '127.0.0.1',
    port,
    zone: 'z2',
    version: 'v1',
    slots: 6,
    isDraining: false,
  }
  isOpen = () => false
  const clock = (): number => performance.now()
  paths = PathTable.create({ clock, serverCount: () => 1, onChange: () => undefined })
  dialer = ServerDialer.create({
    clock,
    random: seededRandom(1),
    zone: 'z1',
    paths,
    peers: { relays: () => [], isAlive: () => true, aliveCount: 1 },
    servers: () => [server],
    mayConnect: () => isOpen(),
    healthPathOf: () => '/health',
    onServerFailed: () => assert.fail('the server has not failed'),
    onCheckFailed: (err) => {
      throw err
    },
    metrics: { serverConnections: { inc: () => undefined } as never },
  })
})

afterEach(() => {
  dialer.close()
  backend.close()
})

async function countConnections(action: () => Promise<unknown>): Promise<number> {
  await action()
  await new Promise((resolve) => setTimeout(resolve, 50))
  return connectionCount
}

describe('a server in an evacuated zone', () => {
  it('is not dialled, and that is no failure of the server', async () => {
    const dialled = await dialer.dial(server)
    assert.equal(dialled.type, 'failed')
    assert.equal(dialled.isConfirmed || dialled.isRefused, false)
    assert.equal(await countConnections(() => dialer.dial(server)), 0)
  })

  it('gets no probe for a request that is in progress there, which goes on', async () => {
    assert.equal(await dialer.probe(server, undefined), 'accepted')
    assert.equal(await dialer.probe(server, 'n2'), 'accepted')
    assert.equal(await dialer.check(server), 'unchecked')
    assert.equal(await dialer.checkSilence(server, undefined), 'unchecked')
    assert.equal(await countConnections(() => dialer.check(server)), 0)
  })

  it('gets no checks of a lost path, until the evacuation is revoked', async () => {
    const finding = { state: 'relayed', failure: 'refused', relay: 'n2' } as const
    paths.recordLost(server, finding)
    const pass = (): Promise<unknown> =>
      new Promise((resolve) => setTimeout(resolve, TWO_CHECKS_MS))
    assert.equal(await countConnections(pass), 0)
    isOpen = () => true
    assert.ok((await countConnections(pass)) > 0)
    assert.equal(paths.isLost(server), false)
  })

  it('gets no request on a connection that was being opened when the news came', async () => {
    let askCount = 0
    isOpen = () => {
      askCount += 1
      return askCount === 1
    }
    assert.equal((await dialer.dial(server)).type, 'failed')
    isOpen = () => true
    const dialled = await dialer.dial(server)
    assert.equal(dialled.type, 'connected')
    dialled.connection.destroy()
  })
})
