import assert from 'node:assert/strict'
import { Agent, createServer, type RequestListener, type Server } from 'node:http'
import { createServer as createNetServer, type AddressInfo } from 'node:net'
import { afterEach, describe, it } from 'node:test'
import { gzipSync } from 'node:zlib'
import { requestJson } from '../requestJson.js'

/** Time after which a connection is reset, in milliseconds. */
const RESET_MS = 20

/** Errors that would have ended a process. */
const uncaught: unknown[] = []
let server: Server | undefined

process.on('uncaughtExceptionMonitor', (err) => uncaught.push(err))

afterEach(() => {
  server?.close()
  server?.closeAllConnections()
  assert.deepEqual(uncaught.splice(0), [])
})

async function serve(listener: RequestListener): Promise<string> {
  const created = createServer(listener)
  server = created
  await new Promise<void>((resolve) => {
    created.listen(0, '127.0.0.1', resolve)
  })
  return `http://127.0.0.1:${(created.address() as AddressInfo).port}/`
}

const VALUE = { routes: Array.from({ length: 500 }, (_, i) => `route-${i}`) }

describe('requestJson', () => {
  it('reads a compressed response, also one of several parts, if it accepts compression', async () => {
    const url = await serve((req, res) => {
      assert.equal(req.headers['accept-encoding'], 'gzip')
      const text = JSON.stringify(VALUE)
      res.writeHead(200, { 'content-encoding': 'gzip' })
      res.end(Buffer.concat([gzipSync(text.slice(0, 100)), gzipSync(text.slice(100))]))
    })
    const { body } = await requestJson({
      method: 'GET',
      url,
      timeoutMs: 5_000,
      acceptsGzip: true,
    })
    assert.deepEqual(body, VALUE)
  })

  it('rejects a small response that expands to more than the maximum size', async () => {
    const url = await serve((_req, res) => {
      res.writeHead(200, { 'content-encoding': 'gzip' })
      res.end(gzipSync(JSON.stringify('x'.repeat(100_000))))
    })
    await assert.rejects(
      requestJson({ method: 'GET', url, timeoutMs: 5_000, maxBytes: 10_000 }),
    )
  })

  it('rejects a response that stops in the middle', async () => {
    const url = await serve((_req, res) => {
      res.writeHead(200, { 'content-length': '100' })
      res.write('{"routes"')
    })
    await assert.rejects(
      requestJson({ method: 'GET', url, timeoutMs: 50 }),
      /no data within 50 ms/,
    )
  })

  it('rejects a response whose connection is closed before its end', async () => {
    const url = await serve((_req, res) => {
      res.writeHead(200, { 'content-length': '100' })
      res.write('{"routes"', () => res.destroy())
    })
    await assert.rejects(requestJson({ method: 'GET', url, timeoutMs: 5_000 }))
  })

  // Guards against: a failed write behind a whole response ends the process.
  it('has its response if the connection breaks while the body is still sent', async () => {
    const rawServer = createNetServer({ allowHalfOpen: true }, (socket) => {
      socket.on('error', () => undefined)
      socket.once('data', () => {
        socket.pause()
        socket.end('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}')
        setTimeout(() => socket.resetAndDestroy(), RESET_MS)
      })
    })
    await new Promise<void>((resolve) => rawServer.listen(0, '127.0.0.1', resolve))
    const { port } = rawServer.address() as AddressInfo
    const agent = new Agent({ keepAlive: true })
    const { status } = await requestJson({
      method: 'PUT',
      url: `http://127.0.0.1:${port}/`,
      body: 'x'.repeat(20_000_000),
      timeoutMs: 5_000,
      agent,
    })
    assert.equal(status, 200)
    await new Promise((resolve) => setTimeout(resolve, 2 * RESET_MS))
    agent.destroy()
    await new Promise((resolve) => rawServer.close(resolve))
  })
})
