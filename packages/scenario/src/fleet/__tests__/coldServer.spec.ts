import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import {
  ReplicaStandin,
  StoreStandin,
  callerHeaders,
  fleetConfig,
} from '@wagtailway/standins'
import { sendToFleet } from '../fleetClient.js'
import { startGateway, waitUntil, type TestGateway } from '../gatewayHarness.js'
import { worstWindow } from '../slidingWindow.js'

const GATEWAY_COUNT = 6
const REQUESTS_PER_S = 100

/** The bound: `coldPerS` × `coldOver` + `coldSlack` requests in any second. */
const COLD_PER_S = 6.7
const COLD = { over: 1.5, slack: 5 }
const MAX_PER_S = COLD_PER_S * COLD.over + COLD.slack

const COLD_MS = 3_000
const RESPONSE_MS = 60

/** Time within which a request that no server can take must be refused, in milliseconds. */
const MAX_REFUSAL_MS = 400

/** Time in which instances that have started don't watch the store yet, in milliseconds. */
const DISCOVERY_MS = 5_000

let store: StoreStandin
let servers: ReplicaStandin[]
let gateways: TestGateway[]
let timer: NodeJS.Timeout | undefined
let sent: { readonly status: number; readonly tookMs: number; readonly retryS: number }[]

/** Adds a server with an entry that names a cold time. */
async function addServer(id: string, coldRemainingMs: number): Promise<ReplicaStandin> {
  const server = await ReplicaStandin.create({ id, responseMs: () => RESPONSE_MS })
  servers.push(server)
  store.put('servers', id, server.entry({ coldRemainingMs }))
  return server
}

/** Sends requests to one gateway after the other until the test ends. */
function sendRegularly(): void {
  let count = 0
  timer = setInterval(() => {
    count += 1
    const { port } = gateways[count % GATEWAY_COUNT] ?? { port: 0 }
    const headers = callerHeaders({ requestId: `r-${count}`, isStream: false })
    const fromMs = performance.now()
    void sendToFleet({ port, path: `/plain/r-${count}`, headers }).then((res) => {
      const tookMs = performance.now() - fromMs
      sent.push({
        status: res.status,
        tookMs,
        retryS: Number(res.headers['retry-after']),
      })
    })
  }, 1_000 / REQUESTS_PER_S)
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}

beforeEach(async () => {
  servers = []
  sent = []
  store = await StoreStandin.create()
  const cold = { coldStartS: COLD_MS / 1_000, coldPerS: COLD_PER_S }
  store.put('config', 'main', fleetConfig({ version: 1, cold }))
  gateways = await Promise.all(
    Array.from({ length: GATEWAY_COUNT }, (_, i) =>
      startGateway(`n${i}`, store.port, { cold: COLD }),
    ),
  )
})

afterEach(async () => {
  clearInterval(timer)
  await Promise.all(gateways.map((gateway) => gateway.close()))
  await Promise.all(servers.map((server) => server.close()))
  await store.close()
})

describe('a cold server', () => {
  // Guards against: all instances choose a server that has just joined, as it is the least loaded.
  it('gets no more than the bound in any second although it is the only empty one', async () => {
    await addServer('w0', 0)
    await addServer('w1', 0)
    await Promise.all(gateways.map((gateway) => waitUntil(() => gateway.isReady())))
    sendRegularly()
    await sleep(2_500)
    const cold = await addServer('c0', COLD_MS)
    const coldUntilMs = performance.now() + COLD_MS
    await sleep(COLD_MS)
    const worst = worstWindow(
      cold.arrivals.filter((atMs) => atMs < coldUntilMs),
      1_000,
    )
    assert.ok(worst <= MAX_PER_S, `${worst} requests in a second, ${MAX_PER_S} allowed`)
    assert.deepEqual([...new Set(sent.map(({ status }) => status))], [200])
    store.put('servers', 'c0', cold.entry({ coldRemainingMs: 0, sequence: 2 }))
    const beforeCount = cold.arrivals.length
    await sleep(1_500)
    const warmCount = cold.arrivals.length - beforeCount
    assert.ok(warmCount > MAX_PER_S, `${warmCount} requests once it was warm`)
  })

  // Guards against: a service whose servers are all cold serves nothing, or beyond the bound, or
  // holds what it can't serve.
  it('serves within the bound if all servers of its service are cold', async () => {
    const [first, second] = [await addServer('c0', 0), await addServer('c1', 0)]
    await Promise.all(gateways.map((gateway) => waitUntil(() => gateway.isReady())))
    await sleep(DISCOVERY_MS)
    for (const { id, entry } of [first, second].map((server) => ({
      id: server.id,
      entry: server.entry({ coldRemainingMs: COLD_MS, sequence: 2 }),
    })))
      store.put('servers', id, entry)
    const knowsAll = ({ lines }: TestGateway): boolean =>
      lines.filter(({ event }) => event === 'server_cold').length === 2
    await waitUntil(() => gateways.every(knowsAll))
    sendRegularly()
    await sleep(COLD_MS - 500)
    for (const { arrivals } of [first, second]) {
      const worst = worstWindow(arrivals, 1_000)
      assert.ok(worst <= MAX_PER_S, `${worst} requests in a second, ${MAX_PER_S} allowed`)
      assert.ok(arrivals.length >= COLD_PER_S, `${arrivals.length} requests`)
    }
    const refused = sent.filter(({ status }) => status !== 200)
    assert.deepEqual([...new Set(refused.map(({ status }) => status))], [503])
    const slowest = Math.max(...refused.map(({ tookMs }) => tookMs))
    assert.ok(slowest <= MAX_REFUSAL_MS, `refused after ${slowest} ms`)
    const returns = refused.map(({ retryS }) => retryS)
    const width = Math.max(...returns) - Math.min(...returns)
    assert.ok(width > 0.5, `callers return within ${width} s`)
    assert.ok(Math.max(...returns) <= COLD_MS / 1_000, String(Math.max(...returns)))
  })
})
