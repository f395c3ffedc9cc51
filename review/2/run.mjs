/**
 * One replica spoils a few of its answers: an error whose body has no end, in chunks of one
 * byte. Clients of sound replicas must not lose their answers for it.
 */
import {
  HAS_TROUBLE,
  configuration,
  keptConnection,
  runScript,
  send,
  sleep,
  startGateways,
  startReplica,
  startStore,
} from '../common/lab.mjs'

/** Clients of each kind before each gateway. */
const CLIENTS = 10

const TRAFFIC_MS = 15_000

/** Duration of a run of a request that is no stream, in milliseconds. */
const RUN_MS = 400

const EVENTS = 5
const EVENT_MS = 10

/** One in so many answers of one replica of four is spoiled. */
const SPOILED_EVERY = 50

const CHUNKS = Buffer.from('1\r\na\r\n'.repeat(10_000))

/** Lost answers of requests from kept connections that the rule allows a machine. */
const MAX_LOST = 3

await runScript(import.meta.url, async (lab) => {
  const store = await startStore(lab)
  store.put('config', 'main', configuration())
  for (const id of ['list-1', 'list-2', 'list-3'])
    await startReplica(lab, store, id, answerPlainly)
  for (const id of ['llm-1', 'llm-2', 'llm-3'])
    await startReplica(lab, store, id, answerInEvents, 'wagtail-llm')
  let answerCount = 0
  const spoilSome = (req, res) => {
    answerCount += 1
    if (!HAS_TROUBLE || answerCount % SPOILED_EVERY !== 0) {
      answerInEvents(req, res)
      return
    }
    answerWithoutEnd(lab, req, res)
  }
  await startReplica(lab, store, 'llm-4', spoilSome, 'wagtail-llm')
  const gateways = await startGateways(lab, store, 2)
  const endMs = lab.nowMs + TRAFFIC_MS
  const answers = await Promise.all(
    gateways.flatMap((gateway) =>
      Array.from({ length: CLIENTS }, (_, i) => [
        callRepeatedly(lab, gateway, endMs, { path: `/confirm/${i}`, kept: true }),
        callRepeatedly(lab, gateway, endMs, { path: `/note/${i}`, kept: false }),
      ]).flat(),
    ),
  )
  const ran = new Set(
    lab.runs.filter(({ service }) => service === 'list-api').map(({ id }) => id),
  )
  const lost = answers
    .flat()
    .filter(({ id, kept, status }) => kept && status === 0 && ran.has(id))
  const breaches = gateways.flatMap(({ name, exit }) => {
    const lostHere = lost.filter(({ gateway }) => gateway === name)
    lab.record('result', { name, lost: lostHere.length, exit })
    return lostHere.length > MAX_LOST ? lostHere : []
  })
  return breaches.map((answer) => ({ rule: 'LOST', ...answer }))
})

/** Sends one request after the other until the traffic ends or the gateway has gone. */
async function callRepeatedly(lab, gateway, endMs, { path, kept }) {
  const agent = kept ? keptConnection() : undefined
  const answers = []
  // Spreads the clients, so that at any time most of them wait for an answer.
  await sleep(Math.random() * RUN_MS)
  for (let isFirst = true; lab.nowMs < endMs && gateway.isRunning; isFirst = false) {
    const answer = await send(lab, {
      host: gateway.host,
      port: gateway.port,
      method: 'POST',
      path,
      agent,
      body: Buffer.from('text'),
      headers: { 'X-Deadline-Remaining': kept ? '1500' : '15000' },
    })
    // The first request of a connection is not one from a kept connection.
    answers.push({ ...answer, gateway: gateway.name, kept: kept && !isFirst })
  }
  agent?.destroy()
  return answers
}

function answerPlainly(_req, res) {
  setTimeout(() => {
    res.writeHead(200, { 'X-Response-Signature': 's', 'Content-Length': 4 })
    res.end('done')
  }, RUN_MS)
}

function answerInEvents(req, res) {
  res.writeHead(200, { 'X-Response-Signature': 's', 'Content-Type': 'text/event-stream' })
  let id = Number(req.headers['last-event-id'] ?? 0)
  const timer = setInterval(() => {
    id += 1
    res.write(`id: ${id}\ndata: ${id}\n\n`)
    if (id < EVENTS) return
    clearInterval(timer)
    res.end()
  }, EVENT_MS)
  res.on('close', () => clearInterval(timer))
}

/** Sends chunks of one byte until the caller closes the connection. */
function answerWithoutEnd(lab, req, res) {
  const { socket } = req
  const id = req.headers['x-request-id']
  const startedAtMs = lab.nowMs
  let sentBytes = 0
  lab.record('endless_begins', { id })
  const head = [
    'HTTP/1.1 500 Internal Server Error',
    `X-Request-Id: ${id}`,
    'X-Response-Signature: s',
    'Content-Type: text/plain',
    'Transfer-Encoding: chunked',
  ]
  res.detachSocket(socket)
  const pump = () => {
    while (!socket.destroyed) {
      sentBytes += CHUNKS.length
      if (!socket.write(CHUNKS)) return
    }
  }
  socket.on('error', () => undefined)
  socket.on('drain', pump)
  socket.on('close', () => {
    lab.record('endless_closed', { id, sentBytes, tookMs: lab.nowMs - startedAtMs })
  })
  socket.write(`${head.join('\r\n')}\r\n\r\n`)
  pump()
}
