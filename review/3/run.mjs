/**
 * A new version of the configuration adds a streaming route that may not be resumed. Its
 * requests may run once at most, whatever the smaller models think of their answers.
 */
import {
  BROKEN,
  COULD_NOT_RUN,
  HELD,
  configuration,
  hasTrouble,
  runCase,
  send,
  signed,
  sleep,
  streamHeaders,
  streamingRoute,
} from '../common/stage.mjs'

const REQUESTS = 40
const WAIT_MS = 10_000
const EVENTS = 6
const EVENT_MS = 60

const SIZES = ['m0', 'm1', 'm2']

/** Confidence that each model reports of its own answers. */
const CONFIDENCE = { m0: 15, m1: 30, m2: 92 }

const FIRST = streamingRoute({ sizes: SIZES })
const ADDED = streamingRoute({
  name: 'appeal-memo',
  pathPrefix: '/memo/',
  streamResumption: false,
  timeoutMs: 10_000,
  targetLatencyMs: 4_000,
  sizes: SIZES,
})

/** Answers with a stream, as long as its connection is open. */
async function answerStream({ req, res, requestId, begin, end }) {
  const model = String(req.headers['x-model'])
  if (!(model in CONFIDENCE)) {
    res.writeHead(421, { 'x-not-executed': '1', 'content-length': 0 }).end()
    return
  }
  begin({ model, path: req.url })
  const fields = {
    'content-type': 'text/event-stream',
    'x-confidence': String(CONFIDENCE[model]),
  }
  res.writeHead(200, signed(requestId, fields))
  const firstEvent = Number(req.headers['last-event-id'] ?? 0) + 1
  for (let id = firstEvent; id <= EVENTS; id += 1) {
    if (res.destroyed) {
      end({ model, result: 'connection closed', events: id - firstEvent })
      return
    }
    res.write(`id: ${id}\ndata: ${model} ${id}\n\n`)
    await sleep(EVENT_MS)
  }
  res.end()
  end({ model, result: 'complete' })
}

async function play({ gateways, servers, store, record }) {
  const route = hasTrouble ? ADDED : FIRST
  if (hasTrouble) {
    store.put('config', 'main', configuration(2, [FIRST, ADDED]))
    record('the operator adds a route', { version: 2, route: ADDED.name })
    // Longer than `configurationMs`, so that all gateways serve the route.
    await sleep(4_000)
  }
  const results = []
  for (let i = 0; i < REQUESTS; i += 1) {
    const gateway = gateways[i % gateways.length]
    const requestId = `r${String(i).padStart(3, '0')}`
    record('client sends', {
      request: requestId,
      route: route.name,
      gateway: gateway.name,
    })
    const { host, port } = gateway
    const result = send({
      host,
      port,
      method: 'POST',
      path: `${route.pathPrefix}${i}`,
      headers: streamHeaders(requestId, WAIT_MS),
      body: 'summarise',
    })
    results.push(
      result.then(({ status, isWhole }) => {
        record('client gets', { request: requestId, status, isWhole })
        return status
      }),
    )
    await sleep(100)
  }
  const statuses = await Promise.all(results)
  const runCounts = new Map()
  for (const { requestId } of servers.flatMap(({ runs }) => runs))
    runCounts.set(requestId, (runCounts.get(requestId) ?? 0) + 1)
  const twice = [...runCounts].filter(([, runs]) => runs > 1).map(([id]) => id)
  const answered = statuses.filter((status) => status === 200).length
  record('verdict', {
    route: route.name,
    mayRunAgain: route.streamResumption,
    answered,
    ranMoreThanOnce: twice.length,
  })
  if (answered === 0) return COULD_NOT_RUN
  return !route.streamResumption && twice.length > 0 ? BROKEN : HELD
}

await runCase({
  caseUrl: import.meta.url,
  gateways: 3,
  config: configuration(1, [FIRST]),
  servers: ['i-1', 'i-2', 'i-3', 'i-4'].map((id) => ({
    id,
    service: 'wagtail-llm',
    slots: 64,
    handle: (exchange) => void answerStream(exchange),
  })),
  play,
})
