import assert from 'node:assert/strict'
import { after, before, describe, it } from 'node:test'
import {
  ReplicaStandin,
  StoreStandin,
  callerHeaders,
  fleetConfig,
} from '@wagtailway/standins'
import { sendToFleet, type FleetResponse } from '../fleetClient.js'
import { startGateway, waitUntil, type TestGateway } from '../gatewayHarness.js'

const DEADLINE_MS = 6_000

/** Sound requests after which the budget has room for a retry, at 0.7 per request. */
const SOUND_REQUESTS = 4

let store: StoreStandin
let gateway: TestGateway
let replicas: ReplicaStandin[] = []
/** Requests that hang on the first replica that they reach. */
const hanging = new Set<string>()

function send(path: string, requestId: string): Promise<FleetResponse> {
  const isStream = path.startsWith('/notes')
  return sendToFleet({
    port: gateway.port,
    path,
    headers: callerHeaders({ requestId, isStream, waitMs: DEADLINE_MS }),
  })
}

function retryLines(requestId: string): readonly Record<string, unknown>[] {
  return gateway.lines
    .filter(({ event, fields }) => event === 'request' && fields['id'] === requestId)
    .flatMap(({ fields }) => fields['attempts'] as Record<string, unknown>[])
}

before(async () => {
  store = await StoreStandin.create()
  store.put('config', 'main', fleetConfig({ version: 1, timeoutMs: DEADLINE_MS }))
  replicas = await Promise.all(
    ['plain', 'plain', 'models', 'models'].map(async (service, i) => {
      const replica = await ReplicaStandin.create({
        id: `s${i}`,
        behaviour: ({ headers }) =>
          hanging.delete(String(headers['x-request-id'])) ? 'hang' : 'answer',
      })
      store.put('servers', replica.id, replica.entry({ service }))
      return replica
    }),
  )
  // Without slack a single request has no retry until others have arrived.
  gateway = await startGateway('n1', store.port, { retrySlack: 0 })
  await waitUntil(() => gateway.isReady())
})

after(async () => {
  await gateway.close()
  await Promise.all(replicas.map((replica) => replica.close()))
  await store.close()
})

describe('a silent server whose retry the budget refused', { timeout: 30_000 }, () => {
  for (const path of ['/plain/1', '/notes/1']) {
    it(`is left for another one once the budget has room: ${path}`, async () => {
      const requestId = `silent ${path}`.replaceAll(/[^a-z0-9]/g, '-')
      hanging.add(requestId)
      const response = send(path, requestId)
      // Longer than the inactivity timeouts, so that the budget has refused the retry.
      await new Promise((resolve) => setTimeout(resolve, 2_000))
      for (let i = 0; i < SOUND_REQUESTS; i += 1) await send(path, `${requestId}-${i}`)
      assert.equal((await response).status, 200)
      assert.equal(retryLines(requestId)[0]?.['result'], 'silent')
    })
  }
})
