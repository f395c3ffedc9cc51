/** PINNED: a session whose requests take seconds is moved in the first half of a rollout. */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Fleet, hasTrouble, runCase, send, sleep } from '../common-2/fleet.mjs'
import { Replica } from '../common-2/replica.mjs'
import { Store } from '../common-2/store.mjs'

const SESSION_S = 5
const DURATION_S = 24
const SESSIONS = 300
const EVENTS = 40
const EVENT_MS = Number(process.env.EVENT_MS ?? 150)
const PAUSE_MS = 4_200
/** Traffic before the order, and after it. */
const BEFORE_MS = 12_000
const AFTER_MS = 14_000

const route = {
  name: 'notes',
  host: 'app.example',
  pathPrefix: '/notes/',
  kind: 'streaming',
  timeoutMs: 20_000,
  targetLatencyMs: 4_000,
  targetGapMs: 1_000,
  priority: 2,
  sizes: ['m0', 'm1'],
  service: 'llm',
  attempts: 3,
  public: false,
  sessionAffinity: true,
  streamResumption: true,
}
const models = [
  { name: 'm0', cost: 0.01 },
  { name: 'm1', cost: 0.07 },
]
const config = {
  version: 7,
  routes: [route],
  services: [
    {
      name: 'llm',
      healthPath: '/health',
      connectionLimit: 370,
      engine: { slots: 64, models },
    },
  ],
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
  const versionOf = new Map()
  const startReplicas = (version) =>
    Promise.all(
      Array.from({ length: 4 }, async (_, i) => {
        const replica = await Replica.create({
          id: `${version}-${i}`,
          service: 'llm',
          host: '127.0.0.1',
          version,
          events: () => EVENTS,
          eventMs: EVENT_MS,
          onRun: (run) => versionOf.set(run.request, run),
        })
        onEnd(() => replica.close())
        store.put('servers', `${version}-${i}`, replica.entry)
        return replica
      }),
    )
  await startReplicas('v1')
  const fleet = await Fleet.create({
    count: 3,
    store: store.address,
    bounds: { sessionS: SESSION_S },
  })
  onEnd(() => fleet.close())
  // Instances follow the store closely from some seconds after their start.
  await sleep(5_000)

  let isOver = false
  const requests = []
  const playSession = async (session) => {
    await sleep((session / SESSIONS) * (EVENTS * EVENT_MS + PAUSE_MS))
    for (let n = 0; !isOver; n += 1) {
      const { host, port } = fleet.gateways[(session + n) % fleet.gateways.length]
      const id = `s${session}-${n}`
      const answer = await send({
        host,
        port,
        method: 'POST',
        path: `/notes/${id}`,
        headers: {
          Host: 'app.example',
          'X-Request-Id': id,
          'X-Credential': 'key-1',
          'X-Deadline-Remaining': '20000',
          'X-Model': '*',
          'X-Token-Usage': '1460,160',
          'X-Prompt-Prefix': `a1:350,${session.toString(16)}b:1110`,
          Session: `session-${session}`,
          'Content-Type': 'application/json',
        },
        body: '{}',
      })
      requests.push({ id, session, ...answer })
      await sleep(PAUSE_MS)
    }
  }
  const sessions = Array.from({ length: SESSIONS }, (_, i) => playSession(i))
  await sleep(BEFORE_MS)
  let orderedAt = Infinity
  if (hasTrouble) {
    await startReplicas('v2')
    store.put('rollouts', 'llm', { service: 'llm', target: 'v2', durationS: DURATION_S })
    orderedAt = performance.now()
    record.add('the operator orders the rollout of v2', orderedAt)
  }
  await sleep(AFTER_MS)
  isOver = true
  await Promise.all(sessions)
  const status = JSON.stringify(store.read('rollouts', 'llm')?.status ?? null)
  record.add(`state of the rollout: ${status}`)

  const halfAt = orderedAt + (DURATION_S / 2) * 1_000
  let moved = 0
  let served = 0
  for (let session = 0; session < SESSIONS; session += 1) {
    const own = requests.filter((req) => req.session === session)
    for (const [i, req] of own.entries()) {
      const run = versionOf.get(req.id)
      if (req.status === 200) served += 1
      const before = own[i - 1]
      const earlier = before && versionOf.get(before.id)
      const gapMs = before ? req.sentAt - before.endedAt : undefined
      const isMoved =
        run?.version === 'v2' &&
        earlier?.version === 'v1' &&
        gapMs < SESSION_S * 1_000 &&
        req.sentAt < halfAt
      if (isMoved) moved += 1
      const note = isMoved ? `  MOVED, ${Math.round(gapMs)} ms after the one before` : ''
      record.add(`${req.id} ${req.status} ran on ${run?.version}${note}`, req.sentAt)
    }
  }
  record.add(`${requests.length} requests, ${served} served, ${moved} moved`)
  console.log(`${requests.length} requests, ${served} served, ${moved} moved`)
  if (served < requests.length * 0.95) throw new Error('too few requests were served')
  return moved > 3
    ? `${moved} requests ran on the new version in the first half of its rollout, though the one before in their session ran on the old one`
    : undefined
})
