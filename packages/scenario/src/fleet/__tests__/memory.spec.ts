import assert from 'node:assert/strict'
import { connect, type Socket } from 'node:net'
import { afterEach, describe, it } from 'node:test'
import { callerHeaders } from '@wagtailway/standins'
import { waitUntil } from '../gatewayHarness.js'
import { LargeServer } from '../largeServer.js'
import { MemoryFleet } from '../memoryFleet.js'

/** Limit in the settings, and what the process may take of it, in megabytes. */
const LIMITS = [
  { memoryMb: 350, maxMb: 300 },
  { memoryMb: 178, maxMb: 178 },
]

const ANSWER_COUNT = 60
const ANSWER_BYTES = 12_000_000

const STALLED_LINE = /"(answer|reader)_stalled"/

const BODY_COUNT = 60
const BODY_BYTES = 4_000_000

/** Interval at which a slow caller reads a little, in milliseconds. */
const SLOW_INTERVAL_MS = 10

let fleet: MemoryFleet | undefined
const sockets: Socket[] = []
const servers: LargeServer[] = []

function requestHead(path: string, requestId: string, more: readonly string[]): string {
  const headers = Object.entries(callerHeaders({ requestId, waitMs: 9_000 }))
  return [
    `POST ${path} HTTP/1.1`,
    'Host: app.example',
    'Connection: close',
    ...headers.map(([name, value]) => `${name}: ${value}`),
    ...more,
    '\r\n',
  ].join('\r\n')
}

/** Opens a connection and sends the head of a request. */
function open(port: number, head: string): Socket {
  const socket = connect(port, '127.0.0.1')
  sockets.push(socket)
  socket.on('error', () => undefined)
  socket.write(head)
  return socket
}

/** Resolves with all that a connection receives. */
function received(socket: Socket): Promise<string> {
  let text = ''
  socket.on('data', (chunk) => (text += chunk.toString('latin1')))
  return new Promise((resolve) => {
    socket.once('close', () => {
      resolve(text)
    })
  })
}

function statusOf(answer: string): string | undefined {
  return /^HTTP\/1\.1 (\d{3})/.exec(answer)?.[1]
}

/** Reads what is left of a connection; resolves to the bytes that it received. */
function readRest(socket: Socket): Promise<number> {
  let bytes = 0
  socket.on('data', (chunk) => (bytes += chunk.length)).resume()
  return new Promise((resolve) => {
    if (socket.closed) resolve(bytes)
    socket.once('close', () => {
      resolve(bytes)
    })
  })
}

/** Reads a connection with pauses; resolves to the bytes that it received. */
function readSlowly(socket: Socket): Promise<number> {
  const timer = setInterval(() => {
    if (socket.isPaused()) socket.resume()
  }, SLOW_INTERVAL_MS)
  socket.on('data', () => socket.pause())
  return readRest(socket).finally(() => {
    clearInterval(timer)
  })
}

afterEach(async () => {
  for (const socket of sockets.splice(0)) socket.destroy()
  await fleet?.close()
  fleet = undefined
  for (const server of servers.splice(0)) await server.close()
})

// Guards against: bodies that are each within the limits of the configuration take the process
// over its memory limit together, and it is killed with all it has accepted.
describe('many large bodies at once', () => {
  for (const { memoryMb, maxMb } of LIMITS) {
    for (const framing of ['a length', 'chunks']) {
      it(`with ${framing} leave a process of ${memoryMb} MB alive and the others served`, async () => {
        fleet = await MemoryFleet.create({ memoryMb })
        const { port, replica } = fleet
        const sound = fleet.startSoundRequests()
        const body = Buffer.alloc(BODY_BYTES, 'x')
        const isSized = framing === 'a length'
        const answers = await Promise.all(
          Array.from({ length: BODY_COUNT }, (_, i) => {
            const header = isSized
              ? `Content-Length: ${BODY_BYTES}`
              : 'Transfer-Encoding: chunked'
            const socket = open(port, requestHead(`/once/${i}`, `b-${i}`, [header]))
            if (!isSized) socket.write(`${BODY_BYTES.toString(16)}\r\n`)
            socket.write(body)
            if (!isSized) socket.write('\r\n0\r\n\r\n')
            return received(socket)
          }),
        )
        const soundStatuses = (await sound.stop()).map(({ status }) => status)
        const statuses = answers.map(statusOf)
        const ranIds = new Set(replica.runs.map(({ requestId }) => requestId))
        const peakMb = await fleet.peakMb()
        assert.ok(peakMb < maxMb, `${peakMb} MB at the peak`)
        assert.deepEqual(new Set(soundStatuses), new Set([200]))
        assert.ok(statuses.includes('200'))
        for (const [i, answer] of answers.entries()) {
          const hasRun = ranIds.has(`b-${i}`)
          assert.equal(statuses[i], hasRun ? '200' : '503', `request ${i}: ${answer}`)
          if (!hasRun) assert.match(answer, /retry-after: \d/i)
        }
        const part = (name: string): string =>
          `wagtailway_gateway_memory_bytes{part="${name}"}`
        const refusals = 'wagtailway_gateway_refusals_total{reason="no_memory"}'
        assert.equal(await fleet.metric(part('limit')), memoryMb * 1_048_576)
        assert.equal(await fleet.metric(part('bodies_held')), 0)
        assert.equal(
          await fleet.metric(refusals),
          statuses.filter((status) => status === '503').length,
        )
      })
    }
  }
})

// Guards against: bodies that never come keep the memory that is reserved for them.
describe('bodies that stand still', () => {
  it('are refused once others need their memory, which are served then', async () => {
    fleet = await MemoryFleet.create({ memoryMb: 178 })
    const { port, replica } = fleet
    const length = `Content-Length: ${BODY_BYTES}`
    const stillAnswers = ['s-1', 's-2'].map((id) =>
      received(open(port, requestHead(`/once/${id}`, id, [length]))),
    )
    const body = Buffer.alloc(BODY_BYTES, 'x')
    const statuses: (string | undefined)[] = []
    const isServed = async (): Promise<boolean> => {
      const id = `b-${statuses.length}`
      const socket = open(port, requestHead(`/once/${id}`, id, [length]))
      socket.write(body)
      statuses.push(statusOf(await received(socket)))
      return statuses.at(-1) === '200'
    }
    await waitUntil(isServed)
    assert.equal(statuses[0], '503')
    assert.deepEqual((await Promise.all(stillAnswers)).map(statusOf), ['503', '503'])
    const ranIds = replica.runs.map(({ requestId }) => requestId)
    assert.deepEqual(
      ranIds.filter((id) => !id.startsWith('sound')),
      [`b-${statuses.length - 1}`],
    )
    assert.equal(fleet.logLines('body_stalled').length, 2)
  })
})

// Guards against: answers that nobody reads fill the memory, and the servers that sent them are
// taken for broken.
describe('large answers that nobody reads', () => {
  for (const { memoryMb, maxMb } of LIMITS) {
    it(`leave a process of ${memoryMb} MB alive and the others served, and end early`, async () => {
      const server = await LargeServer.create(ANSWER_BYTES, '/once/')
      servers.push(server)
      fleet = await MemoryFleet.create({ memoryMb, serverAddress: server.address })
      const sound = fleet.startSoundRequests()
      const readers = Array.from({ length: ANSWER_COUNT }, (_, i) => {
        const head = requestHead(`/once/${i}`, `a-${i}`, ['Content-Length: 0'])
        return open(fleet?.port ?? 0, head).pause()
      })
      const { port } = fleet
      const slow = readSlowly(
        open(port, requestHead('/once/s', 'slow', ['Content-Length: 0'])),
      )
      const stalledSeries = 'wagtailway_gateway_stalled_transfers_total{kind="answer"}'
      let stalledCount: number | undefined
      let hasLine = false
      await waitUntil(async () => {
        hasLine ||=
          fleet?.gateway.logLines.some((line) => STALLED_LINE.test(line)) === true
        stalledCount = await fleet?.metric(stalledSeries)
        return stalledCount !== undefined && stalledCount >= ANSWER_COUNT && hasLine
      }).catch(() => {
        assert.fail(`${stalledCount} of ${ANSWER_COUNT} ended, logged: ${hasLine}`)
      })
      const soundStatuses = (await sound.stop()).map(({ status }) => status)
      const peakMb = await fleet.peakMb()
      assert.ok(peakMb < maxMb, `${peakMb} MB at the peak`)
      assert.deepEqual(new Set(soundStatuses), new Set([200]))
      assert.deepEqual(fleet.logLines('server_unreachable'), [])
      const wholeCount = (await Promise.all(readers.map(readRest))).filter(
        (bytes) => bytes >= ANSWER_BYTES,
      ).length
      assert.equal(wholeCount, 0)
      assert.ok((await slow) >= ANSWER_BYTES)
    })
  }
})
