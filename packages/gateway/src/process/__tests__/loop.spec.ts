import assert from 'node:assert/strict'
import { describe, it, type TestContext } from 'node:test'
import { currentOwner } from '@wagtailway/core'
import { createMetrics } from '../../observe/metrics.js'
import { Loop } from '../loop.js'

function createLoop(t: TestContext) {
  t.mock.timers.enable({ apis: ['setTimeout'] })
  const events: string[] = []
  const log = (event: string): void => {
    events.push(event)
  }
  const loop = Loop.create({ log, metrics: createMetrics() }, 'reports')
  const pass = async (ms: number): Promise<void> => {
    for (let i = 0; i < ms; i += 10) {
      t.mock.timers.tick(10)
      await new Promise((resolve) => setImmediate(resolve))
    }
  }
  return { loop, events, pass }
}

describe('Loop', () => {
  it('goes on after a turn that throws or rejects', async (t) => {
    const { loop, events, pass } = createLoop(t)
    let turns = 0
    const stop = loop.repeat(100, () => {
      turns += 1
      if (turns === 2) throw new Error('thrown')
      return turns === 3 ? Promise.reject(new Error('rejected')) : 100
    })
    await pass(1_000)
    stop()
    assert.ok(turns >= 5, `${turns} turns`)
    assert.deepEqual(events, ['loop_failed', 'loop_failed'])
  })

  it('runs a timer again whose callback an error has swallowed', async (t) => {
    const { loop, events, pass } = createLoop(t)
    let turns = 0
    const swallowed = t.mock.method(globalThis, 'setTimeout', () => undefined, {
      times: 1,
    })
    loop.repeat(10, () => (turns += 1))
    assert.equal(swallowed.mock.callCount(), 1)
    loop.end(new Error('swallowed'))
    await pass(400)
    assert.ok(turns > 0)
    assert.deepEqual(events, ['loop_failed'])
  })

  // Guards against: errors that come faster than the pause put a timer off for ever.
  it('runs a timer a moment after an error, also if further errors come', async (t) => {
    const { loop, pass } = createLoop(t)
    let turns = 0
    loop.repeat(10, () => {
      turns += 1
      return 10
    })
    for (let i = 0; i < 20; i += 1) {
      loop.end(new Error('in a callback'))
      await pass(100)
    }
    assert.ok(turns > 1, `${turns} turns`)
  })

  it('owns the errors of what its turns start', async () => {
    const loop = Loop.create({ log: () => undefined, metrics: createMetrics() }, 'loads')
    const owners: unknown[] = []
    await new Promise<void>((resolve) => {
      const stop = loop.repeat(0, () => {
        owners.push(currentOwner())
        if (owners.length === 3) {
          stop()
          resolve()
        }
        return 1
      })
    })
    assert.deepEqual(owners, [loop, loop, loop])
  })
})
