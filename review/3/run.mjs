/**
 * One replica spoils a few of its streams: a digit in the id of the first event is wrong. The
 * client must get all that the replica sent, or a stream that doesn't look complete.
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

/** Clients before each gateway, and streams that each of them asks for. */
const CLIENTS = 10
const STREAMS = 30

const EVENTS = 30
const EVENT_MS = 10

/** One in so many streams of one replica of four is spoiled. */
const SPOILED_EVERY = 50

/** Id of the first event of a spoiled stream. */
const SPOILED_ID = 9

await runScript(import.meta.url, async (lab) => {
  const store = await startStore(lab)
  store.put('config', 'main', configuration())
  const sentById = new Map()
  const startLlm = (id, firstIdOf) =>
    startReplica(
      lab,
      store,
      id,
      (req, res) => {
        const sent = answerInEvents(req, res, firstIdOf(req))
        const requestId = req.headers['x-request-id']
        sentById.set(requestId, [...(sentById.get(requestId) ?? []), sent])
      },
      'wagtail-llm',
    )
  for (const id of ['llm-1', 'llm-2', 'llm-3']) await startLlm(id, () => 1)
  let streamCount = 0
  await startLlm('llm-4', (req) => {
    streamCount += 1
    if (!HAS_TROUBLE || streamCount % SPOILED_EVERY !== 0) return 1
    lab.record('stream_spoiled', { id: req.headers['x-request-id'] })
    return SPOILED_ID
  })
  const gateways = await startGateways(lab, store, 2)
  const answers = await Promise.all(
    gateways.flatMap(({ host, port }) =>
      Array.from({ length: CLIENTS }, async () => {
        const received = []
        for (let i = 0; i < STREAMS; i += 1) {
          const headers = { 'X-Deadline-Remaining': '10000' }
          const body = Buffer.from('text')
          const path = `/note/${i}`
          received.push(
            await send(lab, { host, port, method: 'POST', path, body, headers }),
          )
          await sleep(20)
        }
        return received
      }),
    ),
  )
  return answers
    .flat()
    .filter(({ id, status, whole, text }) => {
      const runs = sentById.get(id) ?? []
      return status === 200 && whole && !runs.some((sent) => sent.join('') === text)
    })
    .map(({ id, text }) => ({
      rule: 'ORDER',
      id,
      sent: eventIds(sentById.get(id)?.at(-1)?.join('') ?? ''),
      received: eventIds(text),
    }))
})

/** Sends all events of a stream; returns the list that they are added to as they are sent. */
function answerInEvents(req, res, firstId) {
  res.writeHead(200, { 'X-Response-Signature': 's', 'Content-Type': 'text/event-stream' })
  const sent = []
  const begin = Number(req.headers['last-event-id'] ?? 0) + 1
  let number = begin
  const timer = setInterval(() => {
    const id = number === begin ? firstId + begin - 1 : number
    const event = `id: ${id}\ndata: piece ${number}\n\n`
    sent.push(event)
    res.write(event)
    number += 1
    if (number <= EVENTS) return
    clearInterval(timer)
    res.end()
  }, EVENT_MS)
  res.on('close', () => clearInterval(timer))
  return sent
}

function eventIds(text) {
  return [...text.matchAll(/^id: (\d+)$/gm)].map(([, id]) => id).join(' ')
}
