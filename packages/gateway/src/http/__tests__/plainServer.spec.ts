import assert from 'node:assert/strict'
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

before(async () => {
  server = await PlainServer.create(
    listenAt({ host: HOST, port: 0 }),
    ({ path }) => RESPONSES[path]?.() ?? { status: 404, body: '' },
    (err, { path }) => errors.push(`${path}: ${String(err)}`),
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
