import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { LeavePermission, type LeaveDecision } from '../leavePermission.js'

const REPORT_MS = 300
const OLD_MS = 1_000_000
const CYCLE_MS = 150_000

/** Instances that all hear each other, unless they are left out. */
class Fleet {
  nowMs = 0
  readonly guards = new Map<string, LeavePermission>()
  readonly draining = new Set<string>()
  readonly silent = new Set<string>()

  constructor(size: number) {
    for (let i = 0; i < size; i += 1) this.start(`n${i}`)
    this.pass(OLD_MS - 5_000, OLD_MS)
    this.pass(5_000)
  }

  start(name: string): void {
    this.draining.delete(name)
    this.guards.set(
      name,
      LeavePermission.create({
        name,
        clock: () => this.nowMs,
        wallClock: () => this.nowMs,
        reportIntervalMs: () => REPORT_MS,
      }),
    )
  }

  /** Lets time pass with a report of each instance in each step. */
  pass(ms: number, stepMs = REPORT_MS): void {
    const untilMs = this.nowMs + ms
    while (this.nowMs < untilMs) {
      this.nowMs = Math.min(untilMs, this.nowMs + stepMs)
      this.report()
    }
  }

  report(): void {
    for (const [name, { wishAgeMs }] of this.guards) {
      if (this.silent.has(name)) continue
      const isDraining = this.draining.has(name)
      for (const [receiver, guard] of this.guards)
        if (!this.silent.has(receiver)) guard.applyReport({ name, isDraining, wishAgeMs })
    }
  }

  guard(name: string): LeavePermission {
    const guard = this.guards.get(name)
    assert.ok(guard)
    return guard
  }

  /** Lets all want to leave, and the others know it. */
  failAll(): void {
    for (const guard of this.guards.values()) guard.requestLeave()
    this.pass(9_300)
  }

  /** Names of those that may leave now; they drain from then on. */
  leave(): string[] {
    const leaving = [...this.guards.keys()].filter(
      (name) => !this.draining.has(name) && this.guard(name).mayLeave(),
    )
    for (const name of leaving) this.draining.add(name)
    this.report()
    return leaving
  }
}

function obstacleOf(decision: LeaveDecision): string | undefined {
  return decision.mayLeave ? undefined : decision.obstacle
}

describe('LeavePermission', () => {
  it('lets at most a third of the fleet leave, and the others once those are back', () => {
    const fleet = new Fleet(8)
    fleet.failAll()
    const left = new Set<string>()
    for (let round = 0; round < 4; round += 1) {
      const leaving = fleet.leave()
      assert.equal(leaving.length, 2)
      for (const name of leaving) left.add(name)
      assert.deepEqual(fleet.leave(), [])
      fleet.pass(20_000)
      assert.deepEqual(fleet.leave(), [])
      for (const name of leaving) fleet.start(name)
      fleet.pass(2 * REPORT_MS)
    }
    assert.equal(left.size, 8)
  })

  it('lets one of three leave at a time, and none of one or two', () => {
    const three = new Fleet(3)
    three.failAll()
    assert.equal(three.leave().length, 1)
    for (const size of [1, 2]) {
      const few = new Fleet(size)
      few.failAll()
      for (let passedMs = 0; passedMs < 10 * CYCLE_MS; passedMs += 1_000) {
        few.pass(1_000)
        assert.deepEqual(few.leave(), [])
      }
      assert.equal(obstacleOf(few.guard('n0').decide()), 'few_instances')
    }
  })

  it('refuses without a wish, and until the others must know it', () => {
    const fleet = new Fleet(8)
    const guard = fleet.guard('n0')
    assert.equal(obstacleOf(guard.decide()), 'no_wish')
    assert.equal(guard.wishAgeMs, undefined)
    guard.requestLeave()
    fleet.pass(3_000)
    assert.equal(guard.wishAgeMs, 3_000)
    assert.deepEqual(guard.decide(), {
      mayLeave: false,
      obstacle: 'untold',
      askAgainMs: 6_000,
    })
    fleet.pass(6_000)
    assert.equal(guard.mayLeave(), true)
  })

  it('counts planned stops, also of those that want to leave', () => {
    const fleet = new Fleet(8)
    fleet.failAll()
    fleet.draining.add('n3')
    fleet.report()
    assert.equal(fleet.leave().length, 1)
    fleet.draining.add('n4')
    fleet.report()
    assert.deepEqual(fleet.leave(), [])
  })

  it('counts an instance without a wish in its reports as serving', () => {
    const fleet = new Fleet(3)
    const guard = fleet.guard('n0')
    guard.requestLeave()
    fleet.pass(9_300)
    guard.applyReport({ name: 'n1', isDraining: false, wishAgeMs: undefined })
    assert.equal(guard.mayLeave(), true)
  })

  it('counts a silent instance as out, and so until it must know the wish', () => {
    const fleet = new Fleet(3)
    fleet.silent.add('n1')
    const guard = fleet.guard('n0')
    guard.requestLeave()
    fleet.pass(60_000)
    assert.equal(obstacleOf(guard.decide()), 'others_out')
    fleet.silent.clear()
    fleet.pass(8_400)
    assert.equal(obstacleOf(guard.decide()), 'others_out')
    fleet.pass(1_500)
    assert.equal(guard.mayLeave(), true)
  })

  it('lets a fleet in which nobody hears another leave by turns', () => {
    const fleet = new Fleet(8)
    for (const name of fleet.guards.keys()) fleet.silent.add(name)
    fleet.failAll()
    const leftAtMs = new Map<string, number>()
    const fromMs = fleet.nowMs
    while (fleet.nowMs < fromMs + 2 * CYCLE_MS) {
      fleet.pass(1_000, 1_000)
      for (const name of fleet.leave()) leftAtMs.set(name, fleet.nowMs)
    }
    assert.equal(leftAtMs.size, 8)
    for (const atMs of leftAtMs.values()) {
      const out = [...leftAtMs.values()].filter(
        (otherMs) => otherMs <= atMs && atMs - otherMs < 24_000,
      )
      assert.ok(out.length <= 2, `${out.length} out at ${atMs} ms`)
    }
  })

  it('lets one leave by its turn that others keep waiting for long', () => {
    const fleet = new Fleet(3)
    fleet.silent.add('n1')
    const guard = fleet.guard('n0')
    guard.requestLeave()
    fleet.pass(599_000)
    assert.equal(guard.mayLeave(), false)
    const fromMs = fleet.nowMs
    while (!guard.mayLeave()) {
      fleet.pass(1_000)
      assert.ok(fleet.nowMs <= fromMs + CYCLE_MS + 1_000)
    }
  })

  it('keeps a process that has just started until it has lived for a while', () => {
    const fleet = new Fleet(8)
    fleet.start('n0')
    const guard = fleet.guard('n0')
    guard.requestLeave()
    fleet.pass(100_000)
    assert.equal(guard.wishAgeMs, undefined)
    assert.deepEqual(guard.decide(), {
      mayLeave: false,
      obstacle: 'young',
      askAgainMs: 500_000,
    })
    fleet.pass(500_000)
    assert.equal(guard.wishAgeMs, 0)
    fleet.pass(9_000)
    assert.equal(guard.mayLeave(), true)
  })

  it('forgets an instance that drained and does not come back', () => {
    const fleet = new Fleet(4)
    fleet.draining.add('n1')
    fleet.report()
    fleet.guards.delete('n1')
    const guard = fleet.guard('n0')
    guard.requestLeave()
    fleet.pass(60_000)
    assert.equal(obstacleOf(guard.decide()), 'others_out')
    fleet.pass(REPORT_MS)
    assert.equal(guard.mayLeave(), true)
  })

  it('does not take back a permission', () => {
    const fleet = new Fleet(3)
    fleet.failAll()
    const [name = ''] = fleet.leave()
    for (const other of fleet.guards.keys()) fleet.draining.add(other)
    fleet.report()
    assert.equal(fleet.guard(name).mayLeave(), true)
  })
})
