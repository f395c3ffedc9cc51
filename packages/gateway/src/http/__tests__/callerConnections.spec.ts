import assert from 'node:assert/strict'
import { createServer, type Server, type ServerResponse } from 'node:http'
import { connect, type AddressInfo } from 'node:net'
import { setImmediate } from 'node:timers/promises'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { monotonicClock } from '@wagtailway/core'
import { CallerConnections } from '../callerConnections.js'

const REQUEST = 'GET / HTTP/1.1\r\nHost: app.example\r\n\r\n'

let server: Server
let responses: ServerResponse[]
let closed: ServerResponse[]

/** Waits in turns of the event loop, as the runtime tells of a close some turns later. */
async function waitUntil(condition: () => boolean): Promise<void> {
  for (let turn = 0; turn < 10_000 && !condition(); turn += 1) await setImmediate()
}

beforeEach(async () => {
  responses = []
  closed = []
  const connections = CallerConnections.create({
    clock: monotonicClock,
    maxCount: 10,
    onEnd: () => undefined,
    onLeave: () => undefined,
  })
  server = createServer((req, res) => {
    responses.push(res)
    res.on('close', () => closed.push(res))
    connections.begin(req, res)
  })
  server.on('connection', (socket) => {
    connections.add(socket)
  })
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve)
  })
})

afterEach(() => {
  server.close()
})

// Guards against: what is held for a request that was sent ahead, such as the room for its head,
// stays held for ever once its caller has left.
describe('a connection that closes', () => {
  it('closes each response that is owed on it, once', async () => {
    const { port } = server.address() as AddressInfo
    const socket = connect(port, '127.0.0.1', () => socket.write(REQUEST.repeat(3)))
    await waitUntil(() => responses.length === 3)
    socket.destroy()
    await waitUntil(() => closed.length >= 3)
    await setImmediate()
    assert.deepEqual(new Set(closed), new Set(responses))
    assert.equal(closed.length, 3)
  })
})
