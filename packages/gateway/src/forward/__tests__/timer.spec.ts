import assert from 'node:assert/strict'
import { once } from 'node:events'
import { connect, createServer, type Socket } from 'node:net'
import { after, before, describe, it } from 'node:test'
import { startTimer } from '../timer.js'

const DELAY_MS = 50

let sender: Socket
let receiver: Socket

before(async () => {
  const server = createServer().listen(0, '127.0.0.1')
  await once(server, 'listening')
  const address = server.address()
  sender = connect(typeof address === 'object' ? (address?.port ?? 0) : 0, '127.0.0.1')
  const [accepted] = (await once(server, 'connection')) as [Socket]
  receiver = accepted
  server.close()
})

after(() => {
  sender.destroy()
  receiver.destroy()
})

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}

describe('startTimer', () => {
  // Guards against: after a standstill of the process, a request is given up for silence
  // although its answer has come.
  it('lets what has come during a standstill cancel it', async () => {
    let hasExpired = false
    const timer = startTimer(DELAY_MS, () => (hasExpired = true))
    receiver.once('data', () => {
      timer.cancel()
    })
    // Timers that are due run next.
    await new Promise((resolve) => setImmediate(resolve))
    sender.write('answer')
    const untilMs = performance.now() + DELAY_MS * 2
    while (performance.now() < untilMs);
    await sleep(DELAY_MS)
    assert.ok(!hasExpired)
  })

  it('calls back once, and after a restart only for the new delay', async () => {
    let count = 0
    const timer = startTimer(DELAY_MS, () => (count += 1))
    await sleep(DELAY_MS / 2)
    timer.restart(DELAY_MS)
    await sleep((DELAY_MS * 3) / 4)
    assert.equal(count, 0)
    await sleep(DELAY_MS)
    assert.equal(count, 1)
  })
})
