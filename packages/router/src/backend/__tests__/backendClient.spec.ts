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
    const body = await readResponseBody(called.val)
    assert.equal(body.ok && body.val.toString(), '{}')
    await new Promise((resolve) => setTimeout(resolve, 2 * RESET_MS))
    client.close()
    await new Promise((resolve) => server.close(resolve))
    assert.deepEqual(uncaught, [])
  })
})

/** Answers without their end, by their framing, that come before a long upload has been read. */
const BROKEN_ANSWERS: Readonly<Record<string, string>> = {
  'without a length': '\r\n{"part":1}',
  'with a length': 'Content-Length: 400\r\n\r\n{"part":1}',
  'in chunks': 'Transfer-Encoding: chunked\r\n\r\na\r\n{"part":1}\r\n',
  'in chunks without the end of its trailers':
    'Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\na\r\n{"part":1}\r\n0\r\nX-Sum: 7\r\n',
}

/** Times from the part of an answer to the reset, in milliseconds. */
const RESET_DELAYS_MS = [0, 5, 20, 300]

const UPLOAD_BYTES = 4_000_000

/**
 * Sends an upload to a server; resolves to the body of the answer, or to why there is none.
 *
 * @param respond Called when the first part of the upload has arrived; the rest stays unread.
 */
async function upload(respond: (socket: Socket) => void): Promise<string> {
  const server = createServer({ allowHalfOpen: true }, (socket: Socket) => {
    socket.on('error', () => undefined)
    socket.once('data', () => {
      socket.pause()
      respond(socket)
    })
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  const client = BackendClient.create()
  try {
    const called = await client.call({
      address: `127.0.0.1:${port}`,
      method: 'POST',
      path: '/',
      headers: {},
      body: Buffer.alloc(UPLOAD_BYTES),
      progressTimeoutMs: 5_000,
      signal: new AbortController().signal,
    })
    if (called.err) return called.val.reason
    const body = await readResponseBody(called.val)
    return body.err ? body.val.reason : body.val.toString()
  } finally {
    client.close()
    server.close()
  }
}

// Guards against: the part of an answer that came before a reset is a caller's whole answer.
describe('an answer that comes during a long upload and is reset', () => {
  for (const [name, answer] of Object.entries(BROKEN_ANSWERS)) {
    it(`${name} is not whole`, async () => {
      for (const delayMs of RESET_DELAYS_MS) {
        const body = await upload((socket) => {
          socket.write(`HTTP/1.1 200 OK\r\n${answer}`)
          setTimeout(() => socket.resetAndDestroy(), delayMs)
        })
        assert.match(body, /^backend_/, `reset after ${delayMs} ms`)
      }
    })
  }

  it('together with its last bytes is not whole', async () => {
    const called = upload((socket) => {
      socket.write('HTTP/1.1 200 OK\r\n\r\n{"part":1}', () => socket.resetAndDestroy())
      // Blocks the event loop until both the bytes and the reset have arrived.
      setTimeout(() => {
        const untilMs = performance.now() + RESET_MS
        while (performance.now() < untilMs);
      }, 0)
    })
    assert.match(await called, /^backend_/)
  })

  it('is whole if it has no length and its connection ends normally', async () => {
    const head = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n'
    const whole = '{"part":1}'
    const inParts = await upload((socket) => {
      socket.resume()
      socket.write(head + whole.slice(0, 4))
      setTimeout(() => socket.end(whole.slice(4)), RESET_MS)
    })
    assert.equal(inParts, whole)
    const atOnce = await upload((socket) => {
      socket.resume()
      socket.end(head + whole)
    })
    assert.equal(atOnce, whole)
  })
})
