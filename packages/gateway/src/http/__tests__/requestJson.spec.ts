import assert from 'node:assert/strict'
import { createServer, type RequestListener, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterEach, describe, it } from 'node:test'
import { gzipSync } from 'node:zlib'
import { requestJson } from '../requestJson.js'

let server: Server | undefined

afterEach(() => {
  server?.close()
  server?.closeAllConnections()
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
})
