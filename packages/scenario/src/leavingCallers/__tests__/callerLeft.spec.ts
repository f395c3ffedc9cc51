/**
 * Guards against: work goes on for a caller that has closed its connection, as the process
 * doesn't look for the end of a connection in some state, or looks only at one of its requests.
 */
import assert from 'node:assert/strict'
import { setTimeout as sleep } from 'node:timers/promises'
import { after, before, describe, it } from 'node:test'
import {
  ReplicaStandin,
  StoreStandin,
  fleetConfig,
  type ReplicaBehaviour,
} from '@wagtailway/standins'
import { startGateway, waitUntil, type TestGateway } from '../../fleet/gatewayHarness.js'
import { LEAVE_FORMS, leave, openCaller, requestHead } from '../leavingCaller.js'

/** Time after which nothing may be done for a caller that has left, in milliseconds. */
const BOUND_MS = 500

/** Time for which servers are watched after a caller has left, in milliseconds. */
const WATCH_MS = 1_500

/** Time for which callers stay, in milliseconds. */
const STAY_MS = 200

const LARGE_BODY_BYTES = 4_194_304

/** Size of a first answer that doesn't fit into the buffers of a connection, in bytes. */
const LARGE_ANSWER_BYTES = 12_000_000

/** Size of an answer that waits behind others on its connection, in bytes. */
const WAITING_ANSWER_BYTES = 200_000

/** Requests of one connection that the gateway handles at a time. */
const MAX_HANDLED = 4

const ROUTES = ['/plain/', '/once/', '/notes/'] as const

/** What a caller has sent when it leaves; `id` is the beginning of its request ids. */
interface State {
  readonly name: string
  readonly texts: (path: string, id: string) => readonly string[]
  /**
   * Whether a request reaches a server before the caller leaves.
   *
   * @default true
   */
  readonly arrives?: boolean
}

function heads(path: string, id: string, count: number): string {
  return Array.from({ length: count }, (_, i) => requestHead(path, `${id}-${i}`)).join('')
}

const STATES: readonly State[] = [
  { name: 'one request', texts: (path, id) => [heads(path, id, 1)] },
  {
    name: 'as many requests sent ahead as are handled at a time',
    texts: (path, id) => [heads(path, id, MAX_HANDLED)],
  },
  {
    name: 'more requests sent ahead than are handled at a time',
    texts: (path, id) => [heads(path, id, MAX_HANDLED + 3)],
  },
  {
    name: 'more requests sent ahead than are taken',
    texts: (path, id) => [heads(path, id, 40)],
  },
  {
    name: 'a request and the first bytes of a next head',
    texts: (path, id) => [
      heads(path, id, 1),
      requestHead(path, `${id}-next`).slice(0, 40),
    ],
  },
  {
    name: 'a request and bytes that are none',
    texts: (path, id) => [heads(path, id, 1), 'garbage\r\n\r\n'],
  },
  {
    name: 'a request and a second one with a large body',
    texts: (path, id) => [
      heads(path, id, 1),
      requestHead(path, `${id}-large`, LARGE_BODY_BYTES) + 'x'.repeat(LARGE_BODY_BYTES),
    ],
  },
  {
    name: 'a request with a large body behind as many as are handled at a time',
    texts: (path, id) => [
      heads(path, id, MAX_HANDLED),
      requestHead(path, `${id}-large`, LARGE_BODY_BYTES) + 'x'.repeat(LARGE_BODY_BYTES),
    ],
  },
  {
    name: 'a part of a body',
    arrives: false,
    texts: (path, id) => [requestHead(path, `${id}-part`, 9_000) + 'x'.repeat(5_000)],
  },
  {
    name: 'a request and a part of the body of a second one',
    texts: (path, id) => [
      heads(path, id, 1),
      requestHead(path, `${id}-part`, 9_000) + 'x'.repeat(5_000),
    ],
  },
  {
    name: 'a request whose answer it does not read',
    texts: (path, id) => [requestHead(path, `${id}-unread`)],
  },
  {
    name: 'requests whose answers wait behind a first one',
    texts: (path, id) => [
      heads(path, id, 1),
      requestHead(path, `${id}-waiting`),
      requestHead(path, `${id}-last`),
    ],
  },
]

let store: StoreStandin
let replicas: ReplicaStandin[]
let gateway: TestGateway
/** Arrivals of requests at servers, in milliseconds of `performance.now()`. */
const arrivals: { readonly path: string; readonly atMs: number }[] = []

async function createReplica(id: string, service: string): Promise<ReplicaStandin> {
  const behaviour = ({ url = '' }: { url?: string }): ReplicaBehaviour => {
    arrivals.push({ path: url, atMs: performance.now() })
    const answers = url.endsWith('-unread') || url.endsWith('-waiting')
    return answers ? 'answer' : 'hang'
  }
  const replica = await ReplicaStandin.create({
    id,
    events: 100_000,
    eventMs: 0,
    responseBytes: ({ url = '' }) =>
      url.endsWith('-unread') ? LARGE_ANSWER_BYTES : WAITING_ANSWER_BYTES,
    behaviour,
  })
  store.put('servers', id, replica.entry({ service }))
  return replica
}

async function startFleet(): Promise<void> {
  store = await StoreStandin.create()
  const cfg = fleetConfig({
    version: 1,
    timeoutMs: 8_000,
    bodyBytes: LARGE_BODY_BYTES,
  }) as { services: object[] }
  const services = cfg.services.map((service) => ({ ...service, connectionLimit: 4_000 }))
  store.put('config', 'main', { ...cfg, services })
  replicas = await Promise.all([
    createReplica('p1', 'plain'),
    createReplica('p2', 'plain'),
    createReplica('m1', 'models'),
    createReplica('m2', 'models'),
  ])
  gateway = await startGateway('n1', store.port)
  await waitUntil(() => gateway.isReady())
}

async function closeFleet(): Promise<void> {
  await gateway.close()
  for (const replica of replicas) await replica.close()
  await store.close()
}

/** Requests of a caller that servers are working on. */
function openRuns(id: string): string[] {
  return replicas.flatMap((replica) =>
    [...replica.openRuns].filter((run) => run.startsWith(`${id}-`)),
  )
}

let callerCount = 0

/** Plays one caller; returns what is done for it later than the bound. */
async function play(
  path: string,
  { texts, arrives = true }: State,
  form: (typeof LEAVE_FORMS)[number],
): Promise<string[]> {
  callerCount += 1
  const id = `c${callerCount}`
  const socket = await openCaller(gateway.port)
  for (const text of texts(path, id)) {
    socket.write(text)
    await sleep(STAY_MS / 2)
  }
  await sleep(STAY_MS)
  const hasArrived = arrivals.some((arrival) => arrival.path.startsWith(`${path}${id}-`))
  leave(socket, form)
  const leftAtMs = performance.now()
  await sleep(BOUND_MS)
  const findings = hasArrived === arrives ? [] : ['not the state that is meant']
  findings.push(...openRuns(id).map((run) => `${run} is still running`))
  await sleep(WATCH_MS - BOUND_MS)
  socket.destroy()
  for (const { path: arrived, atMs } of arrivals) {
    const afterMs = Math.round(atMs - leftAtMs)
    if (arrived.startsWith(`${path}${id}-`) && afterMs > BOUND_MS)
      findings.push(`${arrived} reached a server ${afterMs} ms later`)
  }
  return findings
}

for (const path of ROUTES) {
  describe(`on ${path} nothing is done for a caller that has left`, () => {
    before(startFleet)
    after(closeFleet)
    for (const state of STATES) {
      it(`with ${state.name}`, async () => {
        const found = await Promise.all(
          LEAVE_FORMS.map(async (form) => {
            const findings = await play(path, state, form)
            return findings.map((text) => `${form}: ${text}`)
          }),
        )
        assert.deepEqual(found.flat(), [])
      })
    }
  })
}

describe('while the gateway stops, nothing is done for a caller that has left', () => {
  for (const form of LEAVE_FORMS) {
    it(`by ${form}`, async () => {
      await startFleet()
      const id = `stop-${form}`
      const socket = await openCaller(gateway.port)
      socket.write(heads('/plain/', id, MAX_HANDLED))
      await waitUntil(() => openRuns(id).length === MAX_HANDLED)
      const closed = closeFleet()
      await sleep(STAY_MS)
      assert.equal(openRuns(id).length, MAX_HANDLED)
      leave(socket, form)
      await sleep(BOUND_MS)
      assert.deepEqual(openRuns(id), [])
      socket.destroy()
      await closed
    })
  }
})
