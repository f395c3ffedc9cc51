import assert from 'node:assert/strict'
import { once } from 'node:events'
import {
  connect,
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { waitUntil } from '../../fleet/gatewayHarness.js'
import { RelayConnection } from '../relayConnection.js'
import { TcpRelay } from '../tcpRelay.js'

/** Sends each received chunk back. */
function echo(socket: Socket): void {
  socket.on('error', () => undefined)
  socket.on('data', (chunk) => socket.write(chunk))
}

async function open(relay: TcpRelay): Promise<Socket> {
  const [host, port] = relay.address.split(':')
  const socket = connect({ host: host ?? '', port: Number(port) })
  await once(socket, 'connect')
  return socket
}

async function sendAndReceive(socket: Socket, text: string): Promise<string> {
  socket.write(text)
  const [chunk] = (await once(socket, 'data')) as [Buffer]
  return chunk.toString()
}

describe('TcpRelay', () => {
  let server: Server
  let relay: TcpRelay

  beforeEach(async () => {
    server = createServer(echo).listen(0, '127.0.0.1')
    await once(server, 'listening')
    const { port } = server.address() as AddressInfo
    relay = await TcpRelay.create({ target: `127.0.0.1:${port}` })
  })

  afterEach(async () => {
    await relay.close()
    server.close()
  })

  it('forwards bytes in both directions', async () => {
    const socket = await open(relay)
    assert.equal(await sendAndReceive(socket, 'a'), 'a')
    socket.destroy()
  })

  it('resets open and new connections in the state cut', async () => {
    const socket = await open(relay)
    await sendAndReceive(socket, 'a')
    const closed = once(socket, 'error')
    relay.set({ type: 'cut' })
    await closed
    await assert.rejects(open(relay).then((second) => once(second, 'data')))
    relay.set({ type: 'pass' })
    const third = await open(relay)
    assert.equal(await sendAndReceive(third, 'b'), 'b')
    third.destroy()
  })

  it('silences open connections permanently while new connections work', async () => {
    const silenced = await open(relay)
    await sendAndReceive(silenced, 'a')
    relay.silenceOpen()
    let received = ''
    silenced.on('data', (chunk: Buffer) => (received += chunk.toString()))
    silenced.write('lost')
    const newSocket = await open(relay)
    assert.equal(await sendAndReceive(newSocket, 'b'), 'b')
    assert.equal(received, '')
    silenced.destroy()
    newSocket.destroy()
  })

  it('keeps the order of delayed bytes', async () => {
    relay.set({ type: 'slow', delayMs: 10 })
    const socket = await open(relay)
    let received = ''
    const receivedAll = new Promise<void>((resolve) => {
      socket.on('data', (chunk: Buffer) => {
        received += chunk.toString()
        if (received.length === 3) resolve()
      })
    })
    for (const letter of 'abc') socket.write(letter)
    await receivedAll
    assert.equal(received, 'abc')
    relay.set({ type: 'pass' })
    socket.destroy()
  })

  it('leaves no handle open if it is closed while the end of a connection is being sent', async () => {
    const { port } = server.address() as AddressInfo
    const [socket, upstream] = [connect(port), connect(port)]
    await Promise.all([once(socket, 'connect'), once(upstream, 'connect')])
    const connection = RelayConnection.create(socket, upstream, () => undefined)
    upstream.end()
    connection.close()
    await waitUntil(() => !process.getActiveResourcesInfo().includes('TCPSocketWrap'))
  })
})
