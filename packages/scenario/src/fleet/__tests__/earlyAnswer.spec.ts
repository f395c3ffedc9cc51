/**
 * Answers that come before a long upload has been read, and statuses that are none, directly and
 * through another instance's relay. Guards against: a caller takes an answer that was broken off,
 * or that is none, for a complete one.
 */
import assert from 'node:assert/strict'
import { request } from 'node:http'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { after, afterEach, before, describe, it } from 'node:test'
import {
  ReplicaStandin,
  StoreStandin,
  callerHeaders,
  fleetConfig,
} from '@wagtailway/standins'
import { TcpRelay } from '../../relay/index.js'
import { eventIds, type FleetResponse } from '../fleetClient.js'
import { startGateway, waitUntil, type TestGateway } from '../gatewayHarness.js'
import { StoreView } from '../storeView.js'

const UPLOAD_BYTES = 4_000_000

/** Times from the early part of an answer to the reset, in milliseconds. */
const RESET_DELAYS_MS = [0, 5, 50, 300]

const KINDS = ['plain', 'once', 'notes'] as const
type Kind = (typeof KINDS)[number]

/** Window of the retry budget, in milliseconds; short, so that no case uses up that of the next. */
const RETRY_WINDOW_MS = 400

/** How the body of a request is framed. */
const FRAMINGS = ['length', 'chunks', 'trailers'] as const
type Framing = (typeof FRAMINGS)[number]

const ODD_STATUSES = ['000', '001', '099', '', '20', '2', '0x0', '2000', '-200', '2 0']

/** Statuses of three digits that HTTP doesn't define; they arrive as they were sent. */
const UNDEFINED_STATUSES = [600, 999]

const EVENTS = 'id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n'

/** What the server does once the head of a request has arrived. */
type Respond = (socket: Socket, requestId: string, firstEvent: number) => void

let store: StoreStandin
let view: StoreView
let entry: ReplicaStandin
let server: Server
let path: TcpRelay
let direct: TestGateway
/** Has no path to the server, which `direct` relays. */
let relayed: TestGateway
let respond: Respond = () => undefined
let requestCount = 0
const uncaught: unknown[] = []

process.on('uncaughtExceptionMonitor', (err) => uncaught.push(err))

function headOf(requestId: string, status: string, framing: string): string {
  const type = 'Content-Type: text/event-stream\r\n'
  const signed = `X-Request-Id: ${requestId}\r\nX-Response-Signature: s\r\n`
  return `HTTP/1.1 ${status}\r\n${signed}${type}${framing}\r\n`
}

/** Sends a long upload; resolves to what the caller has of the answer. */
function upload(
  gateway: TestGateway,
  kind: Kind,
  framing: Framing = 'length',
  bytes = UPLOAD_BYTES,
): Promise<FleetResponse> {
  requestCount += 1
  const requestId = `r-${requestCount}`
  const headers = {
    host: 'app.example',
    ...callerHeaders({ requestId, isStream: kind === 'notes', waitMs: 3_000 }),
    ...(framing === 'length' && { 'content-length': String(bytes) }),
    ...(framing === 'trailers' && { trailer: 'x-sum' }),
  }
  return new Promise((resolve) => {
    const target = {
      host: '127.0.0.1',
      port: gateway.port,
      path: `/${kind}/${requestId}`,
    }
    const req = request({ ...target, method: 'POST', headers }, (res) => {
      let body = ''
      res.on('data', (chunk: Buffer) => (body += chunk.toString('latin1')))
      res.on('error', () => undefined)
      res.on('close', () => {
        const { statusCode: status = 0, complete: isWhole } = res
        resolve({ status, headers: res.headers, body, isWhole })
      })
    })
    req.on('error', () => {
      resolve({ status: 0, headers: {}, body: '', isWhole: false })
    })
    const piece = Buffer.alloc(Math.min(bytes, 100_000), 'x')
    for (let sent = 0; sent < bytes; sent += piece.length) req.write(piece)
    if (framing === 'trailers') req.addTrailers({ 'x-sum': '7' })
    req.end()
  })
}

function gateways(): readonly (readonly [string, TestGateway])[] {
  return [
    ['directly', direct],
    ['through a relay', relayed],
  ]
}

/** Checks that an answer does not look complete to its caller. */
function assertNotWhole({ status, isWhole, body }: FleetResponse, about: string): void {
  assert.ok(status !== 200 || !isWhole, `${about}: 200, whole, ${body.length} bytes`)
}

before(async () => {
  store = await StoreStandin.create()
  const limits = { bodyBytes: 2 * UPLOAD_BYTES, timeoutMs: 3_000 }
  store.put('config', 'main', fleetConfig({ version: 1, ...limits }))
  entry = await ReplicaStandin.create({ id: 'unused' })
  server = createServer((socket) => {
    socket.on('error', () => undefined)
    socket.once('data', (data) => {
      // The rest of the upload stays unread.
      socket.pause()
      const head = data.toString('latin1')
      const id = /x-request-id: (\S+)/i.exec(head)?.[1] ?? ''
      const last = /last-event-id: (\d+)/i.exec(head)?.[1] ?? '0'
      respond(socket, id, Number(last) + 1)
    })
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  store.put('servers', 'early-p', entry.entry({ address }))
  // Two, so that a stream can be resumed although the first server counts as failing.
  for (const id of ['early-m1', 'early-m2'])
    store.put('servers', id, entry.entry({ address, service: 'models' }))
  path = await TcpRelay.create({ target: address })
  view = await StoreView.create(
    store.port,
    new Map([[`"${address}"`, `"${path.address}"`]]),
  )
  const bounds = { retryWindowMs: RETRY_WINDOW_MS }
  relayed = await startGateway('n1', view.port, bounds)
  direct = await startGateway('n2', store.port, bounds, 'z2')
  for (const gateway of [relayed, direct]) await waitUntil(() => gateway.isReady())
  path.set({ type: 'refuse' })
  respond = (socket, id) => {
    socket.end(`${headOf(id, '200 OK', 'Content-Length: 2\r\n')}ok`)
  }
  await waitUntil(
    async () => (await upload(relayed, 'plain', 'length', 10)).status === 200,
  )
})

afterEach(() => {
  assert.deepEqual(uncaught.splice(0), [])
})

after(async () => {
  await Promise.all([direct, relayed].map((gateway) => gateway.close()))
  server.close()
  await path.close()
  await view.close()
  await entry.close()
  await store.close()
})

/** Early answers without their end, by the bytes behind the status line and other headers. */
const BROKEN_ANSWERS: Readonly<Record<string, readonly [framing: string, body: string]>> =
  {
    'without a length': ['', EVENTS],
    'without a length or a body': ['', ''],
    'with a length': ['Content-Length: 400\r\n', EVENTS],
    'in chunks': ['Transfer-Encoding: chunked\r\n', `1e\r\n${EVENTS}\r\n`],
    'in chunks without the end of its trailers': [
      'Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n',
      `1e\r\n${EVENTS}\r\n0\r\nX-Sum: 7\r\n`,
    ],
  }

describe('an answer that comes during a long upload and is reset', () => {
  for (const [name, [framing, body]] of Object.entries(BROKEN_ANSWERS)) {
    for (const kind of KINDS) {
      it(`${name} is not whole (${kind})`, async () => {
        for (const delayMs of RESET_DELAYS_MS) {
          let answerCount = 0
          respond = (socket, id) => {
            answerCount += 1
            socket.write(headOf(id, '200 OK', framing) + body)
            setTimeout(() => socket.resetAndDestroy(), delayMs)
          }
          for (const [way, gateway] of gateways()) {
            answerCount = 0
            const response = await upload(gateway, kind)
            assertNotWhole(response, `${way}, reset after ${delayMs} ms`)
            assert.ok(answerCount > 0, `${way}: the server got no request`)
          }
        }
      })
    }
  }

  for (const framing of FRAMINGS) {
    it(`is not whole if the upload has ${framing}`, async () => {
      respond = (socket, id) => {
        socket.write(headOf(id, '200 OK', '') + EVENTS)
        setTimeout(() => socket.resetAndDestroy(), 20)
      }
      for (const [way, gateway] of gateways()) {
        for (const kind of KINDS)
          assertNotWhole(await upload(gateway, kind, framing), `${way}, ${kind}`)
      }
    })
  }
})

describe('an answer whose status is none', () => {
  for (const status of ODD_STATUSES) {
    it(`("${status}") is a failure, and no status of the caller's`, async () => {
      respond = (socket, id) => {
        socket.end(`${headOf(id, status, 'Content-Length: 2\r\n')}ok`)
      }
      for (const [way, gateway] of gateways()) {
        for (const kind of KINDS) {
          const { status: got, isWhole } = await upload(gateway, kind, 'chunks', 1_000)
          const about = `${way}, ${kind}: status ${got}`
          assert.ok(got === 502 || got === 503 || got === 504, about)
          assert.ok(isWhole, about)
        }
      }
    })
  }

  for (const status of UNDEFINED_STATUSES) {
    it(`(${status}) is passed on or is a failure, but is no success`, async () => {
      respond = (socket, id) => {
        socket.end(`${headOf(id, `${status} Odd`, 'Content-Length: 2\r\n')}ok`)
      }
      for (const [way, gateway] of gateways()) {
        for (const kind of KINDS) {
          const { status: got } = await upload(gateway, kind, 'trailers', 1_000)
          assert.ok(
            got === status || got === 502 || got === 503,
            `${way}, ${kind}: ${got}`,
          )
        }
      }
    })
  }
})

describe('a stream that is resumed after events', () => {
  /** Sends two events of an unfinished stream, then what the case says on each resumption. */
  async function resumeWith(resumption: Respond): Promise<FleetResponse[]> {
    const responses: FleetResponse[] = []
    for (const [, gateway] of gateways()) {
      await new Promise((resolve) => setTimeout(resolve, 2 * RETRY_WINDOW_MS))
      let resumeCount = 0
      respond = (socket, id, firstEvent) => {
        if (firstEvent > 1) {
          resumeCount += 1
          resumption(socket, id, firstEvent)
          return
        }
        const framing = 'Transfer-Encoding: chunked\r\nX-Confidence: 90\r\n'
        socket.write(`${headOf(id, '200 OK', framing)}1e\r\n${EVENTS}\r\n`)
        setTimeout(() => socket.resetAndDestroy(), 50)
      }
      responses.push(await upload(gateway, 'notes', 'length', 1_000))
      assert.ok(resumeCount > 0, 'the stream was resumed')
    }
    return responses
  }

  for (const status of ODD_STATUSES) {
    it(`is broken off if the resumption has the status "${status}"`, async () => {
      const responses = await resumeWith((socket, id) => {
        socket.end(headOf(id, status, 'Content-Length: 15\r\n') + 'id: 3\ndata: 3\n\n')
      })
      for (const response of responses) {
        assertNotWhole(response, status)
        assert.deepEqual(eventIds(response.body), [1, 2])
      }
    })
  }

  for (const delayMs of RESET_DELAYS_MS) {
    it(`is broken off if the resumption has no length and is reset after ${delayMs} ms`, async () => {
      const responses = await resumeWith((socket, id, firstEvent) => {
        const event = `id: ${firstEvent}\ndata: x\n\n`
        socket.write(headOf(id, '200 OK', '') + event)
        setTimeout(() => socket.resetAndDestroy(), delayMs)
      })
      for (const response of responses) assertNotWhole(response, `${delayMs} ms`)
    })
  }
})
