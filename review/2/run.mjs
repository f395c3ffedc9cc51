/**
 * Clients name a model on a route that has `sizes`. Such a request must be rejected, or run
 * with the model that its client named.
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

const REQUESTS = 30
const WAIT_MS = 10_000
const EVENTS = 4
const EVENT_MS = 30

const SIZES = ['m0', 'm1', 'm2']
const ROUTE = streamingRoute({ sizes: SIZES })

/** Answers with a stream of the named model, as long as its connection is open. */
async function answerStream({ req, res, requestId, begin, end }) {
  const model = String(req.headers['x-model'])
  if (!SIZES.includes(model)) {
    res.writeHead(421, signed(requestId, { 'x-not-executed': '1', 'content-length': 0 }))
    res.end()
    return
  }
  begin({ model })
  const fields = { 'content-type': 'text/event-stream', 'x-confidence': '80' }
  res.writeHead(200, signed(requestId, fields))
  const firstEvent = Number(req.headers['last-event-id'] ?? 0) + 1
  for (let id = firstEvent; id <= EVENTS && !res.destroyed; id += 1) {
    res.write(`id: ${id}\ndata: ${model} ${id}\n\n`)
    await sleep(EVENT_MS)
  }
  end({ result: res.destroyed ? 'connection closed' : 'complete' })
  res.end()
}

async function play({ gateways, servers, record }) {
  const named = new Map()
  const results = []
  for (let i = 0; i < REQUESTS; i += 1) {
    const { name: gateway, host, port } = gateways[i % gateways.length]
    const requestId = `r${String(i).padStart(3, '0')}`
    // The largest model of the route, as a client names it that wants no smaller one.
    const model = hasTrouble ? 'm2' : '*'
    named.set(requestId, model)
    record('client sends', { request: requestId, model, gateway })
    const result = send({
      host,
      port,
      method: 'POST',
      path: `${ROUTE.pathPrefix}${i}`,
      headers: streamHeaders(requestId, WAIT_MS, { 'x-model': model }),
      body: 'summarise',
    })
    results.push(
      result.then(({ status, isWhole, text }) => {
        const answer = text.split('\n')[1]
        record('client gets', { request: requestId, status, isWhole, answer })
        return status
      }),
    )
    await sleep(60)
  }
  const statuses = await Promise.all(results)
  const wrong = servers
    .flatMap(({ runs }) => runs)
    .filter(({ requestId, model }) => {
      const wanted = named.get(requestId)
      return wanted !== '*' && wanted !== model
    })
  const answered = statuses.filter((status) => status !== 0).length
  record('verdict', {
    answered,
    ok: statuses.filter((status) => status === 200).length,
    rejected: statuses.filter((status) => status === 421).length,
    ranWithAnotherModel: wrong.length,
  })
  if (answered < REQUESTS) return COULD_NOT_RUN
  return wrong.length > 0 ? BROKEN : HELD
}

await runCase({
  caseUrl: import.meta.url,
  gateways: 2,
  config: configuration(1, [ROUTE]),
  servers: ['i-1', 'i-2', 'i-3'].map((id) => ({
    id,
    service: 'wagtail-llm',
    slots: 64,
    handle: (exchange) => void answerStream(exchange),
  })),
  play,
})
