/**
 * One replica spoils a few of its answers to streams: bytes without end, in chunks of one byte.
 * The gateway must go on to answer its other requests.
 */
import { monitorEventLoopDelay } from 'node:perf_hooks'
import {
  HAS_TROUBLE,
  configuration,
  runScript,
  send,
  sleep,
  startGateways,
  startReplica,
  startStore,
} from '../common/lab.mjs'

const TRAFFIC_MS = 14_000

const REQUEST_INTERVAL_MS = 50

/** Clients before each gateway that ask for one stream after the other. */
const STREAM_CLIENTS = 4

/** Duration of a run of a request that is no stream, in milliseconds. */
const RUN_MS = 20

const EVENTS = 5
const EVENT_MS = 10

/** One in so many answers of one replica of four is spoiled. */
const SPOILED_EVERY = 50

/** `timeoutMs` of the route, and when the answer must be there, in milliseconds. */
const TIMEOUT_MS = 1_500
const ANSWERED_BY_MS = TIMEOUT_MS + 500

/** Requests without an answer by then that the rule allows, and their share. */
const MAX_UNANSWERED = 8
const MAX_UNANSWERED_SHARE = 1 / 2

/** Delay of this process from which its times can't be trusted, in milliseconds. */
const MAX_OWN_DELAY_MS = 400

const CHUNKS = Buffer.from('1\r\na\r\n'.repeat(10_000))

await runScript(import.meta.url, async (lab) => {
  const store = await startStore(lab)
  const safe = { timeoutMs: TIMEOUT_MS, targetLatencyMs: 121 }
  store.put('config', 'main', configuration({ routes: { safe } }))
  for (const id of ['list-1', 'list-2', 'list-3'])
    await startReplica(lab, store, id, answerPlainly)
  for (const id of ['llm-1', 'llm-2', 'llm-3'])
    await startReplica(lab, store, id, answerInEvents, 'wagtail-llm')
  let answerCount = 0
  const spoilSome = (req, res) => {
    answerCount += 1
    if (HAS_TROUBLE && answerCount % SPOILED_EVERY === 0) answerWithoutEnd(lab, req, res)
    else answerInEvents(req, res)
  }
  await startReplica(lab, store, 'llm-4', spoilSome, 'wagtail-llm')
  const gateways = await startGateways(lab, store, 2)
  const ownDelay = monitorEventLoopDelay()
  ownDelay.enable()
  const endMs = lab.nowMs + TRAFFIC_MS
  const tookMs = gateways.map(() => [])
  await Promise.all(
    gateways.flatMap((gateway, i) => [
      callPlainly(lab, gateway, endMs, tookMs[i]),
      ...Array.from({ length: STREAM_CLIENTS }, () =>
        callForStreams(lab, gateway, endMs),
      ),
    ]),
  )
  const ownDelayMs = Math.round(ownDelay.max / 1e6)
  const results = gateways.map(({ name }, i) => {
    const times = tookMs[i].toSorted((a, b) => a - b)
    return {
      name,
      requests: times.length,
      medianMs: times[Math.floor(times.length / 2)],
      maxMs: times.at(-1),
      openAtTimeout: times.filter((ms) => ms > TIMEOUT_MS).length,
      unanswered: times.filter((ms) => ms > ANSWERED_BY_MS).length,
    }
  })
  for (const result of results) lab.record('result', result)
  lab.record('own_delay', { ownDelayMs })
  if (ownDelayMs > MAX_OWN_DELAY_MS)
    throw new Error(`this process was late: ${ownDelayMs} ms`)
  const sum = (field) => results.reduce((total, result) => total + result[field], 0)
  const isBroken =
    sum('unanswered') >= MAX_UNANSWERED &&
    sum('unanswered') > sum('openAtTimeout') * MAX_UNANSWERED_SHARE
  return isBroken ? results.map((result) => ({ rule: 'CONFIG', ...result })) : []
})

/** Sends a request at each interval, whether earlier ones were answered or not. */
async function callPlainly(lab, { host, port }, endMs, tookMs) {
  const answers = []
  while (lab.nowMs < endMs) {
    const sentAtMs = lab.nowMs
    const headers = { 'X-Deadline-Remaining': '10000' }
    const answer = send(lab, { host, port, path: '/check/1', headers })
    answers.push(answer.then(() => tookMs.push(lab.nowMs - sentAtMs)))
    await sleep(REQUEST_INTERVAL_MS)
  }
  await Promise.all(answers)
}

async function callForStreams(lab, { host, port }, endMs) {
  const headers = { 'X-Deadline-Remaining': '15000' }
  const body = Buffer.from('text')
  while (lab.nowMs < endMs)
    await send(lab, { host, port, method: 'POST', path: '/note/1', body, headers })
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
    'HTTP/1.1 200 OK',
    `X-Request-Id: ${id}`,
    'X-Response-Signature: s',
    'Content-Type: text/event-stream',
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
