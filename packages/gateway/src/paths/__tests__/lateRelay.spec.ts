/**
 * Guards against: a relay that has fallen behind passes on a request whose instance has closed
 * the connection, as its caller left.
 */
import assert from 'node:assert/strict'
import {
  connect,
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { after, before, describe, it } from 'node:test'
import type { BackendServer } from '../../model/backendServer.js'
import { listenAt } from '../../sockets/sockets.js'
import { connectDirectly } from '../directConnection.js'
import { RelayServer } from '../relayServer.js'

const HOST = '127.0.0.1'

/** Time for which the process doesn't read, and in which bytes would be passed on after. */
const STILL_MS = 700
const WATCH_MS = 200

const HEAD = 'GET / HTTP/1.1\r\nHost: app.example\r\n\r\n'

let backend: Server
let relay: RelayServer
let receivedBytes = 0

function stand(ms: number): void {
  const untilMs = performance.now() + ms
  while (performance.now() < untilMs);
}

/** Opens a relayed connection. */
async function openRelayed(): Promise<Socket> {
  const socket = connect(relay.port, HOST)
  socket.on('error', () => undefined)
  socket.write('CONNECT server:80 HTTP/1.1\r\nHost: server\r\nx-relay-server: s1\r\n\r\n')
  await new Promise((resolve) => socket.once('data', resolve))
  return socket
}

before(async () => {
  backend = createServer((socket) => {
    socket.on('error', () => undefined)
    socket.on('data', ({ length }) => (receivedBytes += length))
  })
  await new Promise<void>((resolve) => backend.listen(0, HOST, resolve))
  const server: BackendServer = {
    id: 's1',
    startedAtMs: 1,
    service: 'plain',
    host: HOST,
    port: (backend.address() as AddressInfo).port,
    zone: 'z1',
    version: 'v1',
    slots: 6,
    isDraining: false,
  }
  relay = await RelayServer.create({
    listen: listenAt({ host: HOST, port: 0 }),
    admit: () => server,
    connect: connectDirectly,
    otherServer: () => undefined,
    onRequest: () => undefined,
    onError: (err) => {
      throw err
    },
    onOpenCount: () => undefined,
  })
})

after(() => {
  relay.close()
  backend.close()
})

describe('a relay that has fallen behind', () => {
  for (const form of ['close', 'end', 'reset'] as const) {
    it(`passes on nothing of an instance that has left by ${form}`, async () => {
      receivedBytes = 0
      const socket = await openRelayed()
      socket.write(HEAD)
      if (form === 'close') socket.destroy()
      else if (form === 'end') socket.end()
      else socket.resetAndDestroy()
      stand(STILL_MS)
      await sleep(WATCH_MS)
      socket.destroy()
      assert.equal(receivedBytes, 0)
    })
  }

  it('passes on what an instance that is there has sent', async () => {
    receivedBytes = 0
    const socket = await openRelayed()
    const body = Buffer.alloc(4_000_000, 'x')
    socket.write(HEAD)
    socket.write(body)
    stand(STILL_MS)
    for (let i = 0; i < 100 && receivedBytes < HEAD.length + body.length; i += 1)
      await sleep(20)
    assert.equal(receivedBytes, HEAD.length + body.length)
    socket.destroy()
  })
})
