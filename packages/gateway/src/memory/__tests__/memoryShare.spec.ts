import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { VirtualClock } from '@wagtailway/core'
import { MemoryBudget } from '../memoryBudget.js'
import { MemoryShare, type MemoryHold } from '../memoryShare.js'

const MB = 1_048_576

function holder(workspace: string, priority = 1) {
  return { workspace, priority }
}

/** Takes as much as a workspace gets, in steps; returns the bytes. */
function takeAll(hold: MemoryHold, stepBytes = 1_000): number {
  while (hold.tryReserve(stepBytes));
  return hold.heldBytes
}

describe('MemoryShare', () => {
  it('gives one workspace alone much, the more the more urgent it is, and not all', () => {
    for (const [priority, ratio] of [
      [0, 4 / 5],
      [1, 2 / 3],
      [2, 1 / 2],
      [7, 1 / 2],
    ] as const) {
      const share = MemoryShare.create(MB, () => 0)
      const taken = takeAll(share.open(holder('loud', priority)))
      assert.ok(Math.abs(taken / MB - ratio) < 0.01, `${taken} bytes`)
    }
  })

  it('lets a further workspace start beside several that take all they can', () => {
    const share = MemoryShare.create(10 * MB, () => 0)
    const loud = ['a', 'b', 'c'].map((name) => share.open(holder(name)))
    for (let i = 0; i < 20_000; i += 1) for (const hold of loud) hold.tryReserve(1_000)
    assert.ok(share.heldBytes <= 10 * MB)
    assert.ok(takeAll(share.open(holder('late'))) > (10 * MB) / 12)
  })

  it('counts all holds of a workspace together', () => {
    const share = MemoryShare.create(MB, () => 0)
    for (let i = 0; i < 2_000; i += 1) share.open(holder('loud')).tryReserve(1_000)
    assert.ok(share.heldBytes <= (MB * 2) / 3)
  })

  it('keeps what is retained until it is released', () => {
    const share = MemoryShare.create(MB, () => 0)
    const hold = share.open(holder('w'))
    hold.tryReserve(1_000)
    const release = hold.retain()
    hold.close()
    assert.equal(share.heldBytes, 1_000)
    release()
    release()
    assert.equal(share.heldBytes, 0)
  })

  it('tells callers to return as fast as memory drains, one after the other', () => {
    const clock = VirtualClock.create()
    const share = MemoryShare.create(10_000_000, clock.now)
    const hold = share.open(holder('w'))
    hold.tryReserve(5_000_000)
    for (let i = 0; i < 50; i += 1) {
      clock.advance(100)
      hold.release(50_000)
      hold.tryReserve(50_000)
    }
    const slowMs = share.returnDelayMs(500_000)
    assert.ok(share.returnDelayMs(500_000) >= slowMs + 100)
    clock.advance(10_000)
    for (let i = 0; i < 50; i += 1) {
      clock.advance(100)
      hold.release(1_000_000)
      hold.tryReserve(1_000_000)
    }
    assert.ok(share.returnDelayMs(500_000) < slowMs / 2)
    for (let i = 0; i < 1_000; i += 1) {
      const delayMs = share.returnDelayMs(5_000_000)
      assert.ok(delayMs >= 50 && delayMs <= 3_000, `${delayMs} ms`)
    }
  })

  describe('with transfers that stand still', () => {
    function play(opts: { loudBytes: number; isMoving?: boolean }) {
      const clock = VirtualClock.create()
      const share = MemoryShare.create(MB, clock.now)
      const hold = share.open(holder('still'))
      hold.tryReserve(100_000)
      let progress = 0
      let endedAtMs: number | undefined
      hold.watch({
        progress: () => (opts.isMoving === true ? (progress += 1) : 0),
        end: () => {
          endedAtMs = clock.now()
          hold.close()
        },
      })
      const run = (ms: number): void => {
        for (let passedMs = 0; passedMs < ms; passedMs += 250) {
          clock.advance(250)
          share.endStalled()
        }
      }
      run(20_000)
      const loud = share.open(holder('loud', 0))
      loud.tryReserve(opts.loudBytes)
      run(20_000)
      return endedAtMs
    }

    it('ends none while there is enough memory', () => {
      assert.equal(play({ loudBytes: 100_000 }), undefined)
    })

    it('ends them seconds after memory is short', () => {
      const endedAtMs = play({ loudBytes: 700_000 })
      assert.ok(endedAtMs !== undefined && endedAtMs >= 23_000 && endedAtMs <= 23_500)
    })

    it('ends none that moves', () => {
      assert.equal(play({ loudBytes: 700_000, isMoving: true }), undefined)
    })

    it('ends only those of a workspace that holds most and is refused', () => {
      const clock = VirtualClock.create()
      const share = MemoryShare.create(MB, clock.now)
      const ended: string[] = []
      const holds = ['loud', 'quiet'].map((workspace) => {
        const hold = share.open(holder(workspace, 2))
        const end = (): void => {
          ended.push(workspace)
          hold.close()
        }
        hold.watch({ progress: () => 0, end })
        return hold
      })
      holds[0]?.tryReserve(400_000)
      holds[1]?.tryReserve(10_000)
      const tryMore = (): boolean => share.open(holder('loud', 2)).tryReserve(400_000)
      for (let i = 0; i < 20 && ended.length === 0; i += 1) {
        assert.equal(tryMore(), false)
        clock.advance(250)
        share.endStalled()
      }
      assert.ok(tryMore())
      assert.deepEqual(ended, ['loud'])
    })
  })
})

describe('MemoryBudget', () => {
  it('leaves what the process, sockets and uncollected buffers need', () => {
    for (const limitMb of [178, 350, 1_000]) {
      const memory = MemoryBudget.create(limitMb * MB, () => 0)
      const sharesBytes = memory.bodies.maxBytes + memory.answers.maxBytes
      assert.ok(sharesBytes + memory.processBytes < memory.limitBytes)
      assert.ok(sharesBytes <= (memory.limitBytes - memory.processBytes) / 2)
    }
  })

  it('has room for one body of the usual maximum size on any machine', () => {
    for (const priority of [0, 1, 2, 3]) {
      const { bodies } = MemoryBudget.create(64 * MB, () => 0)
      assert.ok(bodies.open(holder('w', priority)).tryReserve(4 * MB))
    }
  })
})
