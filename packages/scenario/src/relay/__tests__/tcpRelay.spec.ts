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
import { TcpRelay } from '../tcpRelay.js'

/** Answers each part with the same bytes. */
function echo(socket: Socket): void {
  socket.on('error', () => undefined)
  socket.on('data', (part) => socket.write(part))
}

async function open(relay: TcpRelay): Promise<Socket> {
  const [host, port] = relay.address.split(':')
  const socket = connect({ host: host ?? '', port: Number(port) })
  await once(socket, 'connect')
  return socket
}

async function ask(socket: Socket, text: string): Promise<string> {
  socket.write(text)
  const [part] = (await once(socket, 'data')) as [Buffer]
  return part.toString()
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

  it('passes bytes both ways', async () => {
    const socket = await open(relay)
    assert.equal(await ask(socket, 'a'), 'a')
    socket.destroy()
  })

  it('resets present and new connections while it is cut', async () => {
    const socket = await open(relay)
    await ask(socket, 'a')
    const closed = once(socket, 'error')
    relay.set({ type: 'cut' })
    await closed
    await assert.rejects(open(relay).then((second) => once(second, 'data')))
    relay.set({ type: 'pass' })
    const third = await open(relay)
    assert.equal(await ask(third, 'b'), 'b')
    third.destroy()
  })

  it('silences present connections for good while new ones work', async () => {
    const silent = await open(relay)
    await ask(silent, 'a')
    relay.silenceOpen()
    let heard = ''
    silent.on('data', (part: Buffer) => (heard += part.toString()))
    silent.write('lost')
    const fresh = await open(relay)
    assert.equal(await ask(fresh, 'b'), 'b')
    assert.equal(heard, '')
    silent.destroy()
    fresh.destroy()
  })

  it('keeps the order of what it delays', async () => {
    relay.set({ type: 'slow', delayMs: 10 })
    const socket = await open(relay)
    let heard = ''
    const whole = new Promise<void>((resolve) => {
      socket.on('data', (part: Buffer) => {
        heard += part.toString()
        if (heard.length === 3) resolve()
      })
    })
    for (const letter of 'abc') socket.write(letter)
    await whole
    assert.equal(heard, 'abc')
    relay.set({ type: 'pass' })
    socket.destroy()
  })
})
