import assert from 'node:assert/strict'
import { connect } from 'node:net'
import { after, afterEach, before, describe, it } from 'node:test'
import {
  ReplicaStandin,
  StoreStandin,
  callerHeaders,
  fleetConfig,
} from '@wagtailway/standins'
import { sendToFleet, type FleetResponse } from '../fleetClient.js'
import { startGateway, waitUntil, type TestGateway } from '../gatewayHarness.js'
import { OddServer } from '../oddServer.js'

const PATHS = { plain: '/plain/', once: '/once/', models: '/notes/' } as const

/** Lines in the head of an answer that HTTP does not allow, or allows only in part. */
const ODD_LINES: Readonly<Record<string, string>> = {
  'a space inside a name': 'Cache Control: no-store',
  'an empty name': ': value',
  'a space before the colon': 'X-Odd : value',
  'a line without a colon': 'X-Odd',
  'a bracket in a name': 'X-Odd[1]: value',
  'a name in Latin-1': 'X-\xd6dd: value',
  'a NUL in a value': 'X-Odd: a\0b',
  'a DEL in a value': 'X-Odd: a\x7fb',
  'a folded value': 'X-Odd: a\r\n b',
  'a value in Latin-1': 'X-Odd: \xd6',
}

const STATUS_LINES: Readonly<Record<string, string>> = {
  'a status below 100': 'HTTP/1.1 099 Odd',
  'a status of zero': 'HTTP/1.1 000 Odd',
  'a status of 999': 'HTTP/1.1 999 Odd',
  'a control character in the reason': 'HTTP/1.1 200 O\x01K',
}

let store: StoreStandin
let gateway: TestGateway
let sound: ReplicaStandin
let requestCount = 0
/** Errors that would have ended a process. */
const uncaught: unknown[] = []

function send(path: string, isStream: boolean): Promise<FleetResponse> {
  requestCount += 1
  const requestId = `r-${requestCount}`
  return sendToFleet({
    port: gateway.port,
    method: 'POST',
    path: path + requestId,
    headers: callerHeaders({ requestId, isStream, waitMs: 1_500 }),
    body: 'x',
  })
}

/** Sends the bytes of a request; returns those of the answer. */
function sendBytes(head: string): Promise<string> {
  return new Promise((resolve) => {
    const socket = connect(gateway.port, '127.0.0.1')
    let answer = ''
    socket.on('data', (chunk) => (answer += chunk.toString('latin1')))
    socket.on('error', () => undefined)
    socket.on('close', () => {
      resolve(answer)
    })
    socket.write(Buffer.from(head, 'latin1'))
  })
}

function answerOf(requestHead: string, statusLine: string, line: string): string {
  const id = /x-request-id: (\S+)/i.exec(requestHead)?.[1] ?? ''
  const event = 'id: 1\ndata: 1\n\n'
  return [
    statusLine,
    `X-Request-Id: ${id}`,
    'X-Response-Signature: s',
    'Content-Type: text/event-stream',
    ...(line === '' ? [] : [line]),
    `Content-Length: ${event.length}`,
    '',
    event,
  ].join('\r\n')
}

/** Lists an odd server for a service, sends it one request, and removes it again. */
async function sendToOdd(
  service: keyof typeof PATHS,
  statusLine: string,
  line: string,
): Promise<FleetResponse> {
  const id = `odd-${requestCount}`
  const server = await OddServer.create((head) => answerOf(head, statusLine, line))
  const { address } = server
  const listed = service === 'once' ? 'plain' : service
  store.put('servers', id, sound.entry({ service: listed, address }))
  await waitUntil(() => gateway.lines.some(({ fields }) => fields['server'] === id))
  const response = await send(PATHS[service], service === 'models')
  assert.ok(server.requestCount > 0, 'the odd server got no request')
  store.remove('servers', id)
  await waitUntil(() =>
    gateway.lines.some(
      ({ event, fields }) => event === 'server_gone' && fields['server'] === id,
    ),
  )
  await server.close()
  return response
}

process.on('uncaughtExceptionMonitor', (err) => uncaught.push(err))

before(async () => {
  store = await StoreStandin.create()
  store.put('config', 'main', fleetConfig({ version: 1 }))
  sound = await ReplicaStandin.create({ id: 'sound' })
  store.put('servers', 'other', sound.entry({ service: 'other' }))
  gateway = await startGateway('n1', store.port)
  await waitUntil(() => gateway.isReady())
})

afterEach(() => {
  assert.deepEqual(uncaught.splice(0), [])
})

after(async () => {
  await gateway.close()
  await sound.close()
  await store.close()
})

// Guards against: an odd head from one backend server ends the process, and with it the
// requests of all others.
describe('an answer with an odd head', () => {
  for (const service of ['plain', 'once', 'models'] as const) {
    for (const [name, line] of Object.entries(ODD_LINES)) {
      it(`with ${name} from ${service} fails alone`, async () => {
        const { status, isWhole } = await sendToOdd(service, 'HTTP/1.1 200 OK', line)
        assert.ok(status >= 500 || (status === 200 && isWhole), `status ${status}`)
      })
    }
    for (const [name, statusLine] of Object.entries(STATUS_LINES)) {
      it(`with ${name} from ${service} fails alone`, async () => {
        const { status } = await sendToOdd(service, statusLine, '')
        assert.ok(status >= 500 || status === 200, `status ${status}`)
      })
    }
  }

  it('is logged with its server and the reason', () => {
    const attempts = gateway.lines
      .filter(({ event }) => event === 'request')
      .flatMap(
        ({ fields }) => fields['attempts'] as { result: string; detail?: string }[],
      )
    const wrong = attempts.filter(({ result }) => result === 'wrong_answer')
    assert.ok(wrong.length > 0)
    assert.ok(wrong.every(({ detail }) => detail !== undefined))
    assert.ok(!gateway.lines.some(({ event }) => event === 'exchange_failed'))
  })
})

// Guards against: an odd request that no server can be sent makes all servers count as
// unreachable, so that requests of others are refused.
describe('a request with an odd head', () => {
  const targets = {
    'a tab in its path': '/plain/a\tb',
    'a DEL in its path': '/plain/\x7f',
  }
  const request = (target: string, line: string): string =>
    [
      `GET ${target} HTTP/1.1`,
      'Host: app.example',
      'X-Credential: key-1',
      'X-Request-Id: odd',
      'Connection: close',
      ...(line === '' ? [] : [line]),
      '\r\n',
    ].join('\r\n')
  const cases = [
    ...Object.entries(ODD_LINES).map(([name, line]) => [name, request('/plain/1', line)]),
    ...Object.entries(targets).map(([name, target]) => [name, request(target, '')]),
  ] as [string, string][]
  for (const [name, bytes] of cases) {
    it(`with ${name} costs no server its use`, async () => {
      store.put('servers', 'sound', sound.entry({ service: 'plain' }))
      await waitUntil(() =>
        gateway.lines.some(({ fields }) => fields['server'] === 'sound'),
      )
      const answer = await sendBytes(bytes)
      assert.match(answer, /^HTTP\/1\.1 (200|400)/)
      assert.equal((await send('/plain/', false)).status, 200)
    })
  }

  it('from a workspace whose name no header can hold costs no server its use', async () => {
    store.put('config', 'main', fleetConfig({ version: 2, workspace: 'ቀበሌ' }))
    await waitUntil(() => gateway.lines.some(({ fields }) => fields['version'] === 2))
    assert.equal((await send('/plain/', false)).status, 503)
    store.put('config', 'main', fleetConfig({ version: 3 }))
    await waitUntil(() => gateway.lines.some(({ fields }) => fields['version'] === 3))
    assert.equal((await send('/plain/', false)).status, 200)
  })
})
