import assert from 'node:assert/strict'
import { once } from 'node:events'
import type { Server as HttpServer } from 'node:http'
import {
  connect,
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { listenAt } from '../../sockets/sockets.js'
import type { DirectResult, PendingConnection } from '../dial.js'
import { connectDirectly } from '../directConnection.js'
import { RelayServer } from '../relayServer.js'

const HOST = '127.0.0.1'
const CONNECT = 'CONNECT a HTTP/1.1\r\nx-relay-server: s1 1\r\n\r\n'

/** Time after which what was sent on loopback has been handled, in milliseconds. */
const HANDLED_MS = 50

let backend: Server
let relay: RelayServer
let http: HttpServer
let isRefused = false
/** Time until a connection to the backend server is established, in milliseconds. */
let connectMs = 0

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}

function connectLater(): PendingConnection<DirectResult<Socket>> {
  const { port } = backend.address() as AddressInfo
  const pending = connectDirectly({ host: HOST, port })
  return { ...pending, result: sleep(connectMs).then(() => pending.result) }
}

function countConnections(server: Server | HttpServer): Promise<number> {
  return new Promise((resolve) => {
    server.getConnections((_err, count) => {
      resolve(count)
    })
  })
}

beforeEach(async () => {
  isRefused = false
  connectMs = 0
  backend = createServer((socket) => socket.on('error', () => undefined))
  await new Promise<void>((resolve) => backend.listen(0, HOST, resolve))
  const listen = listenAt({ host: HOST, port: 0 })
  relay = await RelayServer.create({
    listen: (server) => {
      http = server as HttpServer
      return listen(server)
    },
    admit: () =>
      isRefused
        ? 'busy'
        : {
            id: 's1',
            startedAtMs: 1,
            service: 'plain',
            host: HOST,
            port: (backend.address() as AddressInfo).port,
            zone: 'z1',
            version: 'v1',
            slots: 6,
            isDraining: false,
          },
    connect: connectLater,
    otherServer: () => undefined,
    onRequest: () => undefined,
    onError: () => undefined,
    onOpenCount: () => undefined,
  })
})

afterEach(async () => {
  relay.close()
  await new Promise((resolve) => backend.close(resolve))
})

// Guards against: connections that nobody uses take a relay's places and descriptors, and
// those of the servers.
describe('a relay', () => {
  it('closes the connection to a server whose requester left before it was there', async () => {
    connectMs = HANDLED_MS
    const socket = connect(relay.port, HOST)
    socket.write(CONNECT)
    await once(socket, 'connect')
    await sleep(HANDLED_MS / 2)
    socket.destroy()
    await sleep(2 * HANDLED_MS)
    assert.equal(await countConnections(http), 0)
    assert.equal(await countConnections(backend), 0)
  })

  it('closes a refused connection on which more came than the request', async () => {
    isRefused = true
    const socket = connect(relay.port, HOST)
    socket.write(`${CONNECT}x`)
    const [answer] = (await once(socket, 'data')) as [Buffer]
    assert.match(answer.toString(), /^HTTP\/1\.1 503 [^]*x-relay-failure: busy/)
    socket.destroy()
    await sleep(HANDLED_MS)
    assert.equal(await countConnections(http), 0)
  })
})
