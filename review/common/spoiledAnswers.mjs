/**
 * A day on which one of four replicas of a service spoils a few of its answers, and what
 * becomes of the requests in progress at the sound replicas of another service.
 */
import { Agent } from 'node:http'
import {
  BROKEN,
  COULD_NOT_RUN,
  HELD,
  clientHeaders,
  configuration,
  hasTrouble,
  runCase,
  send,
  signed,
  sleep,
  streamHeaders,
  streamingRoute,
  unsafeRoute,
} from './stage.mjs'

/** Clients of each kind at each gateway. */
const CLIENTS = 10

const TRAFFIC_MS = 15_000

/** Duration of a run of an unsafe request, in milliseconds. */
const RUN_MS = 400

const EVENTS = 5
const EVENT_MS = 10

/** One in so many answers of the replica is spoiled. */
const SPOILED_EVERY = 50

/** Lost answers of requests from kept connections that the rule allows a machine. */
const MAX_LOST = 3

const UNSAFE_WAIT_MS = 1_500
const STREAM_WAIT_MS = 15_000

const STREAM = streamingRoute()
const UNSAFE = unsafeRoute({ timeoutMs: 1_500 })

async function answerPlain({ res, requestId, begin }) {
  begin()
  await sleep(RUN_MS)
  res.writeHead(200, signed(requestId, { 'content-length': 4 })).end('done')
}

async function answerStream({ req, res, requestId, begin }) {
  begin()
  res.writeHead(200, signed(requestId, { 'content-type': 'text/event-stream' }))
  const firstEvent = Number(req.headers['last-event-id'] ?? 0) + 1
  for (let id = firstEvent; id <= EVENTS && !res.destroyed; id += 1) {
    res.write(`id: ${id}\ndata: ${id}\n\n`)
    await sleep(EVENT_MS)
  }
  res.end()
}

/**
 * Plays the day.
 *
 * @param caseUrl `import.meta.url` of the case.
 * @param spoil Sends a spoiled answer on the connection of a request.
 */
export async function runSpoiledAnswers(caseUrl, spoil) {
  let answerCount = 0
  const spoilSome = (exchange) => {
    answerCount += 1
    if (hasTrouble && answerCount % SPOILED_EVERY === 0) {
      exchange.end({ result: 'spoiled' })
      exchange.res.detachSocket(exchange.req.socket)
      spoil(exchange)
    } else void answerStream(exchange)
  }
  await runCase({
    caseUrl,
    gateways: 2,
    config: configuration(1, [STREAM, UNSAFE]),
    servers: [
      ...['i-1', 'i-2', 'i-3', 'i-4'].map((id, i) => ({
        id,
        service: 'wagtail-llm',
        slots: 64,
        handle: i === 3 ? spoilSome : (exchange) => void answerStream(exchange),
      })),
      ...['i-5', 'i-6', 'i-7'].map((id) => ({
        id,
        service: 'list-api',
        handle: (exchange) => void answerPlain(exchange),
      })),
    ],
    play,
  })
}

async function play({ gateways, servers, record }) {
  const endMs = performance.now() + TRAFFIC_MS
  const clients = gateways.flatMap((gateway) =>
    Array.from({ length: CLIENTS }, (_, i) => [
      callRepeatedly({
        gateway,
        record,
        endMs,
        name: `${gateway.name}-u${i}`,
        isKept: true,
      }),
      callRepeatedly({ gateway, record, endMs, name: `${gateway.name}-s${i}` }),
    ]).flat(),
  )
  const answers = (await Promise.all(clients)).flat()
  const ran = new Set(
    servers.flatMap(({ runs }) => runs.map(({ requestId }) => requestId)),
  )
  const lost = answers.filter(
    ({ isKept, status, requestId }) => isKept && status === 0 && ran.has(requestId),
  )
  const byGateway = gateways.map((gateway) => ({
    gateway: gateway.name,
    lost: lost.filter((answer) => answer.gateway === gateway).length,
    exit: gateway.exits.map(({ code, signal }) => code ?? signal),
  }))
  record('verdict', { requests: answers.length, byGateway })
  if (!answers.some(({ status }) => status === 200)) return COULD_NOT_RUN
  return byGateway.some((counts) => counts.lost > MAX_LOST) ? BROKEN : HELD
}

/**
 * Sends one request after the other until the traffic ends or the gateway has gone: unsafe
 * ones on a kept connection, otherwise streams on new ones.
 */
async function callRepeatedly({ gateway, record, endMs, name, isKept = false }) {
  const agent = isKept ? new Agent({ keepAlive: true, maxSockets: 1 }) : undefined
  const { pathPrefix } = isKept ? UNSAFE : STREAM
  const answers = []
  // Spreads the clients, so that at any time most of them wait for an answer.
  await sleep(Math.random() * RUN_MS)
  for (let count = 0; performance.now() < endMs && gateway.isRunning; count += 1) {
    const requestId = `${name}-${count}`
    record('client sends', { request: requestId })
    const { status, error } = await send({
      host: gateway.host,
      port: gateway.port,
      method: 'POST',
      path: `${pathPrefix}${requestId}`,
      headers: isKept
        ? clientHeaders(requestId, UNSAFE_WAIT_MS)
        : streamHeaders(requestId, STREAM_WAIT_MS),
      body: 'x',
      agent,
    })
    record('client gets', { request: requestId, status, error })
    // The first request of a connection does not come from a kept connection.
    answers.push({ requestId, gateway, status, isKept: isKept && count > 0 })
  }
  agent?.destroy()
  return answers
}
