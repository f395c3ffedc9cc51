/**
 * The smallest model is not sure of its answers to a route whose streams may not be resumed.
 * A request on such a route runs once at most.
 */
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

const MODELS = ['daka510000', 'rada7437b5']

const REQUESTS = 40

const EVENTS = 10
const EVENT_MS = 20

/** Confidence in the answers to hard and to easy requests. */
const LOW_CONFIDENCE = '20'
const HIGH_CONFIDENCE = '90'

await runScript(import.meta.url, async (lab) => {
  const store = await startStore(lab)
  const stream = { streamResumption: false, sessionAffinity: true, sizes: MODELS }
  store.put('config', 'main', configuration({ routes: { stream } }))
  for (const id of ['llm-1', 'llm-2', 'llm-3'])
    await startReplica(lab, store, id, (req, res) => answer(lab, req, res), 'wagtail-llm')
  const gateways = await startGateways(lab, store, 2)
  await Promise.all(
    Array.from({ length: REQUESTS }, async (_, i) => {
      const { host, port } = gateways[i % gateways.length]
      await sleep(i * 100)
      return send(lab, {
        host,
        port,
        method: 'POST',
        path: `/note/${i}`,
        body: Buffer.from('text'),
        headers: {
          'X-Deadline-Remaining': '15000',
          'X-Model': '*',
          'X-Token-Usage': '1460,80',
          'X-Prompt-Prefix': `5c1e07a2:800,${i.toString(16)}:660`,
        },
      })
    }),
  )
  const runsById = new Map()
  for (const run of lab.runs) runsById.set(run.id, [...(runsById.get(run.id) ?? []), run])
  return [...runsById]
    .filter(([, runs]) => runs.length > 1)
    .map(([id, runs]) => ({
      rule: 'TWICE',
      id,
      replicas: runs.map((run) => run.replica),
    }))
})

function answer(lab, req, res) {
  const { 'x-model': model, 'x-request-id': id } = req.headers
  if (!MODELS.includes(model)) {
    res.writeHead(421, { 'X-Not-Executed': '1' }).end()
    return
  }
  const isUnsure = HAS_TROUBLE && model === MODELS[0]
  const confidence = isUnsure ? LOW_CONFIDENCE : HIGH_CONFIDENCE
  lab.record('answer_begins', { id, model, confidence })
  res.writeHead(200, {
    'X-Response-Signature': 's',
    'X-Confidence': confidence,
    'Content-Type': 'text/event-stream',
  })
  let event = 0
  const timer = setInterval(() => {
    event += 1
    res.write(`id: ${event}\ndata: ${model}\n\n`)
    if (event < EVENTS) return
    clearInterval(timer)
    res.end()
  }, EVENT_MS)
  res.on('close', () => clearInterval(timer))
}
