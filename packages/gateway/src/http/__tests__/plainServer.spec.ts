import assert from 'node:assert/strict'
import { connect } from 'node:net'
import { after, before, describe, it } from 'node:test'
import { listenAt } from '../../sockets/sockets.js'
import { PlainServer, type PlainResponse } from '../plainServer.js'

const HOST = '127.0.0.1'
const RESPONSES: Readonly<Record<string, () => Promise<PlainResponse> | PlainResponse>> =
  {
    '/sound': () => ({ status: 200, body: 'ok' }),
    '/throws': () => {
      throw new Error('thrown')
    },
    '/rejects': () => Promise.reject(new Error('rejected')),
    '/odd': () => ({ status: 200, contentType: 'odd\0type', body: 'ok' }),
  }

let server: PlainServer
const errors: string[] = []
const limits: string[] = []

before(async () => {
  server = await PlainServer.create(
    listenAt({ host: HOST, port: 0 }),
    ({ path }) => RESPONSES[path]?.() ?? { status: 404, body: '' },
    (err, { path }) => errors.push(`${path}: ${String(err)}`),
    { onLimit: (limit) => limits.push(limit) },
  )
})

after(() => {
  server.close()
})

// Guards against: an error in what answers one request ends the process.
describe('a small server', () => {
  for (const path of ['/throws', '/rejects', '/odd']) {
    it(`answers 500 if ${path} fails, reports it and goes on`, async () => {
      errors.length = 0
      const failed = await fetch(`http://${HOST}:${server.port}${path}`)
      assert.equal(failed.status, 500)
      assert.equal(errors.length, 1)
      assert.match(errors[0] ?? '', new RegExp(`^${path}: `))
      const sound = await fetch(`http://${HOST}:${server.port}/sound`)
      assert.equal(await sound.text(), 'ok')
    })
  }
})

/** Sends bytes on one connection; returns the statuses that come until it is closed. */
function statusesOf(text: string): Promise<string[]> {
  return new Promise((resolve) => {
    const socket = connect(server.port, HOST, () => socket.write(text))
    let received = ''
    socket.on('data', (chunk) => (received += chunk.toString('latin1')))
    socket.on('error', () => undefined)
    socket.on('close', () => {
      const heads = received.matchAll(/HTTP\/1\.1 (\d{3})/g)
      resolve([...heads].map(([, status = '']) => status))
    })
  })
}

// Guards against: clients that keep to no limit fill the memory of a process by its small
// servers, and the balancer, other instances or operators get no answers.
describe('a small server closes a connection', () => {
  const head = 'GET /sound HTTP/1.1\r\nHost: a\r\n'

  it('behind the refusal of a request with too many fields', async () => {
    limits.length = 0
    const fields = Array.from({ length: 300 }, (_, i) => `f${i}: 1\r\n`).join('')
    assert.deepEqual(await statusesOf(`${head}${fields}\r\n`), ['431'])
    assert.deepEqual(limits, ['header_fields'])
  })

  it('on which many requests are sent ahead', async () => {
    limits.length = 0
    await statusesOf(`${head}\r\n`.repeat(100))
    assert.deepEqual(limits, ['pipelined'])
  })

  it('behind the answer to a request with a body, of which it reads no more', async () => {
    const body = `Content-Length: 1000\r\n\r\n${'x'.repeat(500)}`
    assert.deepEqual(await statusesOf(head + body), ['200'])
  })
})
