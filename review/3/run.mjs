/**
 * A gateway gets SIGTERM a second time while it finishes the requests that it has accepted.
 */
import {
  BOUND,
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
  until,
} from '../common/stage.mjs'

const EVENTS = 12
const EVENT_MS = 250
const STREAM_WAIT_MS = 15_000

const WORK_MS = 2_500
const UNSAFE_WAIT_MS = 4_000

/** Requests of each kind that are in progress at the gateway. */
const REQUESTS = 10

/** Time from the first SIGTERM to the second, in milliseconds. */
const SECOND_SIGNAL_MS = 1_000

async function answerStream({ req, res, requestId, begin, end }) {
  begin({ path: req.url })
  res.writeHead(200, signed(requestId, { 'content-type': 'text/event-stream' }))
  const firstEvent = Number(req.headers['last-event-id'] ?? 0) + 1
  for (let id = firstEvent; id <= EVENTS && !res.destroyed; id += 1) {
    res.write(`id: ${id}\ndata: ${id}\n\n`)
    await sleep(EVENT_MS)
  }
  end({ result: res.destroyed ? 'connection closed' : 'complete' })
  res.end()
}

async function answerPlain({ req, res, requestId, begin, end }) {
  begin({ path: req.url })
  await sleep(WORK_MS)
  const body = `confirmed ${requestId}`
  end({ result: res.destroyed ? 'done, connection closed' : 'complete' })
  res.writeHead(200, signed(requestId, { 'content-length': body.length })).end(body)
}

async function play({ gateways, servers, record }) {
  const [gateway] = gateways
  const { host, port } = gateway
  const results = []
  const start = (requestId, opts) => {
    record('client sends', { request: requestId, path: opts.path, gateway: gateway.name })
    const result = send({ host, port, method: 'POST', body: 'x', ...opts })
    results.push(
      result.then(({ status, isWhole, error }) => {
        record('client gets', { request: requestId, status, isWhole, error })
        return { requestId, status, isWhole }
      }),
    )
  }
  for (let i = 0; i < REQUESTS; i += 1) {
    const headers = streamHeaders(`s${i}`, STREAM_WAIT_MS)
    start(`s${i}`, { path: `/panel/${i}`, headers })
    start(`u${i}`, {
      path: `/slot/${i}`,
      headers: clientHeaders(`u${i}`, UNSAFE_WAIT_MS),
    })
  }
  const runCount = () =>
    new Set(servers.flatMap(({ runs }) => runs.map((r) => r.requestId))).size
  if (!(await until(() => runCount() === 2 * REQUESTS, 1_000))) return COULD_NOT_RUN
  gateway.signal('SIGTERM')
  await sleep(SECOND_SIGNAL_MS)
  if (hasTrouble) gateway.signal('SIGTERM')
  const answers = await Promise.all(results)
  await until(() => !gateway.isRunning, (BOUND.graceS + 1) * 1_000)
  const lost = answers.filter(({ status, isWhole }) => status === 0 || !isWhole)
  record('verdict', {
    passedOn: runCount(),
    answered: answers.length - lost.length,
    lost: lost.map(({ requestId }) => requestId),
  })
  return lost.length > 0 ? BROKEN : HELD
}

await runCase({
  caseUrl: import.meta.url,
  gateways: 2,
  config: configuration(1, [streamingRoute(), unsafeRoute()]),
  servers: [
    ...['i-1', 'i-2'].map((id) => ({
      id,
      service: 'wagtail-llm',
      slots: 64,
      handle: (exchange) => void answerStream(exchange),
    })),
    ...['i-3', 'i-4'].map((id) => ({
      id,
      service: 'list-api',
      handle: (exchange) => void answerPlain(exchange),
    })),
  ],
  play,
})
