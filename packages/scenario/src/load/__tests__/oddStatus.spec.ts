/**
 * Statuses that are none, and answers that are broken off, from engines and plain services behind
 * the router. Guards against: a caller takes one for a status, or the part of an answer for all.
 */
import assert from 'node:assert/strict'
import { createServer, type AddressInfo, type Server } from 'node:net'
import { after, before, describe, it } from 'node:test'
import { DEMO_DEPLOYMENTS } from '../../demo/deployments.js'
import { Deployment, RELAXED_TARGETS } from '../../harness/deployment.js'

const STATUSES = ['000', '001', '099', '', '20', '2', '0x0', '2000', '600', '999']

const UPLOAD_BYTES = 900_000

/** Time from the part of an answer to the reset, in milliseconds. */
const RESET_MS = 5

let deployment: Deployment
let server: Server
let url = ''
/** What the server sends once the head of a request has arrived, and whether it resets then. */
let answer = { bytes: '', isReset: false }
let answerCount = 0

before(async () => {
  server = createServer((socket) => {
    socket.on('error', () => undefined)
    socket.once('data', () => {
      const { bytes, isReset } = answer
      answerCount += 1
      if (!isReset) {
        socket.resume()
        socket.end(bytes)
        return
      }
      // The rest of the upload stays unread.
      socket.pause()
      socket.write(bytes)
      setTimeout(() => socket.resetAndDestroy(), RESET_MS)
    })
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const spec = DEMO_DEPLOYMENTS[0]
  assert.ok(spec)
  deployment = await Deployment.start({
    ...spec,
    engines: [],
    services: [],
    routers: 0,
    seed: 1,
    routerFlags: RELAXED_TARGETS,
  })
  const { port } = server.address() as AddressInfo
  const instance = { address: `127.0.0.1:${port}`, zone: 'z1', region: 'r1' }
  const state = 'live' as const
  const versions = ['summariser@large', 'summariser@small']
  await deployment.setInstance({ id: 'e1', role: 'engine', versions, state, ...instance })
  const service = 'queue'
  await deployment.setInstance({
    id: 'q1',
    role: 'service',
    service,
    versions: [],
    state,
    ...instance,
  })
  const router = await deployment.startRouter()
  await deployment.waitUntilReady()
  url = `http://${router.address}`
})

after(async () => {
  server.close()
  await deployment.close()
})

const REQUESTS = {
  chat: () => postChat(false),
  stream: () => postChat(true),
  service: () =>
    fetch(`${url}/v1/services/queue/places`, {
      method: 'POST',
      headers: { authorization: 'Bearer kebele-key', 'wagtailway-class': 'queue-check' },
      body: 'x'.repeat(UPLOAD_BYTES),
    }),
}

function postChat(stream: boolean): Promise<Response> {
  const messages = [{ role: 'user', content: 'x'.repeat(UPLOAD_BYTES) }]
  return fetch(`${url}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: 'Bearer panel-key', 'content-type': 'application/json' },
    body: JSON.stringify({ model: 'dossier', messages, stream }),
  })
}

/** Sends a request; resolves to the status and the reason of its refusal, if it has one. */
async function sendTo(kind: keyof typeof REQUESTS): Promise<[number, string]> {
  const countBefore = answerCount
  const res = await REQUESTS[kind]()
  const text = await res.text()
  assert.ok(answerCount > countBefore, `the server got no request: ${res.status} ${text}`)
  const { error } = JSON.parse(text) as { error?: { type: string } }
  return [res.status, error?.type ?? '']
}

describe('behind the router', () => {
  for (const kind of Object.keys(REQUESTS) as (keyof typeof REQUESTS)[]) {
    for (const status of STATUSES) {
      it(`an answer with the status "${status}" is a failure (${kind})`, async () => {
        const bytes = `HTTP/1.1 ${status} Odd\r\nContent-Length: 2\r\n\r\n{}`
        answer = { bytes, isReset: false }
        const [got, reason] = await sendTo(kind)
        assert.equal(got, 502)
        assert.match(reason, /^backend_(failed|invalid)$/)
      })
    }

    it(`an answer without a length that is reset is no whole one (${kind})`, async () => {
      const head = 'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n'
      answer = { bytes: `${head}{"part":1}`, isReset: true }
      const [got, reason] = await sendTo(kind)
      assert.equal(got, 502)
      assert.match(reason, /^backend_/)
    })
  }
})
