import assert from 'node:assert/strict'
import { createServer, type AddressInfo, type Socket } from 'node:net'
import { describe, it } from 'node:test'
import { BackendClient, readResponseBody } from '../backendClient.js'

/** Time after which a connection is reset, in milliseconds. */
const RESET_MS = 20

/** Errors that would have ended a process. */
const uncaught: unknown[] = []

process.on('uncaughtExceptionMonitor', (err) => uncaught.push(err))

describe('BackendClient', () => {
  // Guards against: a failed write behind a whole response, which no code handles.
  it('has its response if the connection breaks while the body is still sent', async () => {
    const server = createServer({ allowHalfOpen: true }, (socket: Socket) => {
      socket.on('error', () => undefined)
      socket.once('data', () => {
        socket.pause()
        socket.end('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}')
        setTimeout(() => socket.resetAndDestroy(), RESET_MS)
      })
    })
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    const { port } = server.address() as AddressInfo
    const client = BackendClient.create()
    const called = await client.call({
      address: `127.0.0.1:${port}`,
      method: 'POST',
      path: '/',
      headers: {},
      body: Buffer.alloc(20_000_000),
      progressTimeoutMs: 5_000,
      signal: new AbortController().signal,
    })
    assert.ok(called.ok)
    const body = await readResponseBody(called.val.res)
    assert.equal(body.ok && body.val.toString(), '{}')
    await new Promise((resolve) => setTimeout(resolve, 2 * RESET_MS))
    client.close()
    await new Promise((resolve) => server.close(resolve))
    assert.deepEqual(uncaught, [])
  })
})
