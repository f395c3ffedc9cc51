import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import {
  ReplicaStandin,
  StoreStandin,
  callerHeaders,
  fleetConfig,
  type ReplicaBehaviour,
} from '@wagtailway/standins'
import { sendToFleet } from '../fleetClient.js'
import { startGateway, waitUntil, type TestGateway } from '../gatewayHarness.js'

const GATEWAY_COUNT = 3
const SERVERS_PER_VERSION = 3

/** Pause between two requests, in milliseconds. */
const REQUEST_PAUSE_MS = 60

/** Time from the order to its deadline, in seconds. */
const DURATION_S = 8

/** Time after the deadline until which a bad version is observed, in milliseconds. */
const OBSERVED_AFTER_MS = 9_000

/** The usual time of a response, and that of a slow one, in milliseconds. */
const RESPONSE_MS = 15
const SLOW_RESPONSE_MS = 120

/** Requests that a bad version may get besides its share, by the promise. */
const EXPOSURE_SLACK = 30
const EXPOSURE_SHARE = 0.15

/** Bad responses after which a version must not get further requests, by the promise. */
const MAX_BAD_RESPONSES = 50
const WITHDRAWAL_MS = 5_000

interface VersionKind {
  readonly responseMs: (runCount: number) => number
  readonly behaviour: (runCount: number) => ReplicaBehaviour
}

const GOOD: VersionKind = {
  responseMs: () => RESPONSE_MS,
  behaviour: () => 'answer',
}

const BAD_VERSIONS: Record<string, VersionKind> = {
  slow: { ...GOOD, responseMs: (i) => (i % 2 === 0 ? SLOW_RESPONSE_MS : RESPONSE_MS) },
  failing: { ...GOOD, behaviour: (i) => (i % 2 === 0 ? 'error' : 'answer') },
}

let store: StoreStandin
let gateways: TestGateway[]
let oldServers: ReplicaStandin[]
let newServers: ReplicaStandin[]
let timer: NodeJS.Timeout

async function startServers(
  version: string,
  { responseMs, behaviour }: VersionKind,
): Promise<ReplicaStandin[]> {
  let runCount = 0
  const ids = Array.from({ length: SERVERS_PER_VERSION }, (_, i) => `${version}-${i}`)
  return Promise.all(
    ids.map(async (id) => {
      const server = await ReplicaStandin.create({
        id,
        responseMs: () => responseMs(runCount),
        behaviour: () => {
          runCount += 1
          return behaviour(runCount)
        },
      })
      store.put('servers', id, server.entry({ version }))
      return server
    }),
  )
}

/** Orders a rollout while requests come at a regular rate; returns when it was ordered. */
async function orderRollout(kind: VersionKind): Promise<number> {
  let sent = 0
  timer = setInterval(() => {
    sent += 1
    const requestId = `r-${sent}`
    const path = sent % 3 === 0 ? `/plain/${sent}` : `/once/${sent}`
    const { port } = gateways[sent % GATEWAY_COUNT] ?? { port: 0 }
    void sendToFleet({ port, path, headers: callerHeaders({ requestId }) })
  }, REQUEST_PAUSE_MS)
  await sleep(2_000)
  newServers = await startServers('v2', kind)
  store.put('rollouts', 'plain', {
    service: 'plain',
    target: 'v2',
    durationS: DURATION_S,
  })
  return performance.now()
}

function rolloutState(): unknown {
  return (store.read('rollouts', 'plain')?.status as { state?: string } | null)?.state
}

function runTimes(servers: readonly ReplicaStandin[]): number[] {
  return servers.flatMap(({ runs }) => runs.map(({ atMs }) => atMs)).sort((a, b) => a - b)
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}

beforeEach(async () => {
  store = await StoreStandin.create()
  store.put('config', 'main', fleetConfig({ version: 1 }))
  oldServers = await startServers('v1', GOOD)
  gateways = await Promise.all(
    Array.from({ length: GATEWAY_COUNT }, (_, i) => startGateway(`n${i}`, store.port)),
  )
  await Promise.all(gateways.map((gateway) => waitUntil(() => gateway.isReady())))
})

afterEach(async () => {
  clearInterval(timer)
  await Promise.all(gateways.map((gateway) => gateway.close()))
  await Promise.all([...oldServers, ...newServers].map((server) => server.close()))
  await store.close()
})

describe('a new version that few requests reach', () => {
  for (const [name, kind] of Object.entries(BAD_VERSIONS)) {
    it(`is never completed unseen if it is ${name}`, async () => {
      const orderedAtMs = await orderRollout(kind)
      const deadlineMs = orderedAtMs + DURATION_S * 1_000
      await sleep(deadlineMs + OBSERVED_AFTER_MS - performance.now())
      const newRuns = runTimes(newServers)
      const exposed = newRuns.filter((atMs) => atMs < deadlineMs).length
      const total =
        exposed +
        runTimes(oldServers).filter((atMs) => atMs >= orderedAtMs && atMs < deadlineMs)
          .length
      // Every second response is bad.
      const lastBadMs = newRuns[MAX_BAD_RESPONSES * 2 - 1] ?? Number.POSITIVE_INFINITY
      const late = newRuns.filter((atMs) => atMs > lastBadMs + WITHDRAWAL_MS).length
      assert.equal(rolloutState(), 'rolled_back')
      assert.ok(
        exposed <= EXPOSURE_SHARE * total + EXPOSURE_SLACK,
        `${exposed} of ${total} requests reached the version`,
      )
      assert.equal(late, 0)
    })
  }

  it('is completed if it is good', async () => {
    await orderRollout(GOOD)
    await waitUntil(() => rolloutState() === 'completed')
  })
})
