/** BUDGET: a replica that asked for a pause gets requests once its entry has expired and is back. */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Fleet, hasTrouble, runCase, send, sleep } from '../common-2/fleet.mjs'
import { Replica } from '../common-2/replica.mjs'
import { Store } from '../common-2/store.mjs'

const RETRY_AFTER_S = 20
const OVERLOADED_MS = 1_000
const HEARTBEAT_MS = 1_200
const CUT_MS = 5_000
const REQUESTS_PER_S = 60
/** The rule counts from so long after the answer, and allows so many requests. */
const GRACE_MS = 500
const MAX_REQUESTS = 2

const config = {
  version: 7,
  routes: [
    {
      name: 'queue-check',
      host: 'app.example',
      pathPrefix: '/check/',
      kind: 'safe',
      timeoutMs: 800,
      targetLatencyMs: 100,
      priority: 2,
      service: 'list-api',
      attempts: 2,
      public: false,
    },
  ],
  services: [{ name: 'list-api', healthPath: '/health', connectionLimit: 110 }],
  limits: {
    headerBytes: 16_384,
    bodyBytes: 4_194_304,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
  tenants: [{ name: 'hall', apiKeys: ['key-1'], priority: 1 }],
}

await runCase(dirname(fileURLToPath(import.meta.url)), async (record, onEnd) => {
  const store = await Store.create('127.0.0.1', 0)
  onEnd(() => store.close())
  store.put('config', 'main', config)
  let overloadedUntil = 0
  /** When the replica last answered each machine with `Retry-After`. */
  const answeredAt = new Map()
  const late = new Map()
  const machineOf = (id) => Number(id.split('-')[0].slice(1))
  const arrive = (id, at) => {
    const sinceMs = at - (answeredAt.get(machineOf(id)) ?? Infinity)
    if (!(sinceMs > GRACE_MS && sinceMs < RETRY_AFTER_S * 1_000)) return
    late.set(machineOf(id), (late.get(machineOf(id)) ?? 0) + 1)
    record.add(`${id} reaches i-2, ${Math.round(sinceMs)} ms after its Retry-After`, at)
  }
  const replicas = []
  for (let i = 0; i < 3; i += 1) {
    const replica = await Replica.create({
      id: `i-${i}`,
      service: 'list-api',
      host: '127.0.0.1',
      slots: 6,
      workMs: () => 20,
      retryAfterS: ({ headers }) => {
        const id = String(headers['x-request-id'])
        const now = performance.now()
        if (i !== 2) return undefined
        arrive(id, now)
        if (now >= overloadedUntil) return undefined
        answeredAt.set(machineOf(id), now)
        record.add(`${id} is turned away by i-2 with Retry-After: ${RETRY_AFTER_S}`, now)
        return RETRY_AFTER_S
      },
    })
    onEnd(() => replica.close())
    replicas.push(replica)
    store.put('servers', `i-${i}`, replica.entry)
  }
  const fleet = await Fleet.create({ count: 3, store: store.address })
  onEnd(() => fleet.close())
  await sleep(5_000)

  const answers = []
  let count = 0
  const timer = setInterval(() => {
    const machine = count % fleet.gateways.length
    const { host, port } = fleet.gateways[machine]
    const id = `m${machine}-${count}`
    count += 1
    const headers = {
      Host: 'app.example',
      'X-Request-Id': id,
      'X-Credential': 'key-1',
      'X-Deadline-Remaining': '1500',
    }
    answers.push(send({ host, port, path: `/check/${id}`, headers }))
  }, 1_000 / REQUESTS_PER_S)
  onEnd(() => clearInterval(timer))
  await sleep(3_000)
  overloadedUntil = performance.now() + OVERLOADED_MS
  record.add('i-2 is overloaded for a second')
  await sleep(OVERLOADED_MS + 500)
  if (hasTrouble) {
    record.add('i-2 is partitioned from the store')
    await sleep(3 * HEARTBEAT_MS)
    store.remove('servers', 'i-2')
    record.add('the store removes the entry of i-2 after three heartbeats of silence')
    await sleep(CUT_MS - 3 * HEARTBEAT_MS)
    store.put('servers', 'i-2', replicas[2].entry)
    record.add('i-2 reaches the store again and writes its entry')
  } else await sleep(CUT_MS)
  await sleep(8_000)
  clearInterval(timer)
  const served = (await Promise.all(answers)).filter(
    ({ status }) => status === 200,
  ).length
  const counts = fleet.gateways.map((_, machine) => late.get(machine) ?? 0)
  const summary = `${count} requests, ${served} served; in the time that i-2 wanted none it got ${counts.join(', ')} from the machines`
  record.add(summary)
  console.log(summary)
  if (served < count * 0.95) throw new Error('too few requests were served')
  return Math.max(...counts) > MAX_REQUESTS
    ? `i-2 got ${Math.max(...counts)} requests from a machine in the time for which it wanted none`
    : undefined
})
