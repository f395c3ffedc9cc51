/**
 * Guards against: a process that has fallen behind sends on what callers have already given
 * up, as it reads the end of a connection only after it has sent the request on.
 */
import assert from 'node:assert/strict'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { ReplicaStandin, StoreStandin, fleetConfig } from '@wagtailway/standins'
import { findFreePorts } from '../../fleet/freePorts.js'
import { waitUntil } from '../../fleet/gatewayHarness.js'
import { GatewayProcess } from '../../fleet/gatewayProcess.js'
import { LEAVE_FORMS, leave, openCaller, requestHead } from '../leavingCaller.js'

const CALLER_COUNT = 40

/** Time for which callers stay, and for which the process doesn't run, in milliseconds. */
const STAY_MS = 200
const STILL_MS = 1_200

/** Time in which requests would reach servers afterwards, in milliseconds. */
const WATCH_MS = 800

const ROUTES = ['/plain/', '/once/', '/notes/'] as const

let store: StoreStandin
let replicas: ReplicaStandin[]
let gateway: GatewayProcess

beforeEach(async () => {
  store = await StoreStandin.create()
  store.put('config', 'main', fleetConfig({ version: 1, timeoutMs: 8_000 }))
  replicas = [
    await ReplicaStandin.create({ id: 'p1', behaviour: () => 'hang' }),
    await ReplicaStandin.create({ id: 'm1', behaviour: () => 'hang' }),
  ]
  const [plain, models] = replicas
  store.put('servers', 'p1', plain?.entry())
  store.put('servers', 'm1', models?.entry({ service: 'models' }))
  const [callers, readiness, control, peers, metrics] = await findFreePorts(5)
  gateway = await GatewayProcess.create({
    name: 'n1',
    ports: {
      callers: callers ?? 0,
      readiness: readiness ?? 0,
      control: control ?? 0,
      peers: peers ?? 0,
      metrics: metrics ?? 0,
    },
    storePort: store.port,
    graceS: 4,
  })
  await waitUntil(() => gateway.isReady())
})

afterEach(async () => {
  gateway.signal('SIGCONT')
  await gateway.close()
  for (const replica of replicas) await replica.close()
  await store.close()
})

/** Paths of the requests that reached a server. */
async function play(
  path: string,
  isKept: boolean,
  form: (typeof LEAVE_FORMS)[number],
): Promise<string[]> {
  const { callers } = gateway.opts.ports
  const open = (): ReturnType<typeof openCaller>[] =>
    Array.from({ length: CALLER_COUNT }, () => openCaller(callers))
  const kept = isKept ? await Promise.all(open()) : []
  gateway.signal('SIGSTOP')
  await sleep(50)
  const sockets = isKept ? kept : await Promise.all(open())
  for (const [i, socket] of sockets.entries())
    socket.write(requestHead(path, `${form}-${i}`))
  await sleep(STAY_MS)
  for (const socket of sockets) leave(socket, form)
  await sleep(STILL_MS - STAY_MS)
  gateway.signal('SIGCONT')
  await sleep(WATCH_MS)
  for (const socket of sockets) socket.destroy()
  return replicas.flatMap(({ runs }) => runs.map((run) => run.path))
}

describe('a process that has fallen behind sends nothing on for callers that have left', () => {
  for (const path of ROUTES)
    for (const isKept of [false, true])
      for (const form of LEAVE_FORMS)
        it(`at ${path} on ${isKept ? 'kept' : 'new'} connections, by ${form}`, async () => {
          assert.deepEqual(await play(path, isKept, form), [])
        })
})
