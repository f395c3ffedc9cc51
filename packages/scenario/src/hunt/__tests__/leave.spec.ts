import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import type { LeaveFleetResult } from '../../leaveFleet/leaveFleet.js'
import { noBrake, permission, type LeavePolicy } from '../../leaveFleet/leavePolicies.js'
import { createLeaveModel } from '../models/leave.js'
import { schedules } from '../schedule.js'
import { playOf, runPlay, type LeavePlay } from '../../leaveFleet/leavePlay.js'

/** Seeds by size of the fleet. The environment's `LEAVE_RUNS=200` runs as many of each. */
const SEEDS: Record<number, readonly number[]> = {
  3: seedsUntil(42),
  4: seedsUntil(42),
  5: seedsUntil(42),
  8: seedsUntil(126),
  75: seedsUntil(42).filter((seed) => seed % 2 === 0),
  430: [0, 2],
}
const LEAVE_RUNS = Number(process.env.LEAVE_RUNS ?? 0)

/** Longest wait of processes that have lived long enough, all of which want to leave. */
const MAX_WAIT_MS = 240_000

/** The same while a third of the reports or more is lost, or the network is cut. */
const MAX_UNHEARD_WAIT_MS = 900_000

/** Time that a process lives before it leaves after an error. */
const MIN_LIFE_MS = 600_000

function seedsUntil(count: number): number[] {
  return Array.from({ length: count }, (_, seed) => seed)
}

function assertCapacity(play: LeavePlay, result: LeaveFleetResult): void {
  const { instances, hasRollout } = play
  const text = `${JSON.stringify(play)}: ${JSON.stringify(result)}`
  const mayBeOut = Math.floor(instances / 3)
  assert.ok(result.maxOutAfterError <= mayBeOut, text)
  if (!hasRollout) assert.ok(result.minReady >= (instances * 2) / 3, text)
  assert.ok(result.maxOutAtLeave <= mayBeOut, text)
}

function assertNobodyHeld(play: LeavePlay, result: LeaveFleetResult): void {
  const { errors, network, hasRollout } = play
  const text = `${JSON.stringify(play)}: ${JSON.stringify(result)}`
  if (!hasRollout) assert.ok(result.leaveCount > 0, text)
  // A process that has started since the reports ended knows nobody, and serves on.
  if (network === 'all' && (errors !== 'all at once' || hasRollout)) return
  const isHeard = network === 'whole' || network === 'tenth'
  const isOld = errors === 'all at once' && !hasRollout
  const maxWaitMs = isHeard ? MAX_WAIT_MS : MAX_UNHEARD_WAIT_MS
  assert.ok(result.longestWaitMs <= maxWaitMs + (isOld ? 0 : MIN_LIFE_MS), text)
  if (errors !== 'at each start') assert.equal(result.waitingCount, 0, text)
}

describe('errors that come to a whole fleet, in virtual time', () => {
  for (const [size, seeds] of Object.entries(SEEDS)) {
    it(`leave two thirds of ${size} instances ready and hold none for ever`, () => {
      for (const seed of LEAVE_RUNS > 0 ? seedsUntil(LEAVE_RUNS) : seeds) {
        const play = playOf(seed, Number(size))
        const result = runPlay(play, permission)
        assertCapacity(play, result)
        assertNobodyHeld(play, result)
      }
    })

    it(`take more than a third of ${size} instances out without the brake`, () => {
      for (const seed of [0, 1]) {
        const play = playOf(seed, Number(size))
        assert.throws(() => {
          assertCapacity(play, runPlay(play, noBrake))
        }, assert.AssertionError)
      }
    })
  }

  for (const size of [1, 2])
    it(`take out none of ${size}, which serve on`, () => {
      for (const seed of seedsUntil(LEAVE_RUNS || 42)) {
        const { leaveCount, minReady } = runPlay(
          { ...playOf(seed, size), hasRollout: false },
          permission,
        )
        assert.equal(leaveCount, 0)
        assert.equal(minReady, size)
      }
    })
})

/** Runs random schedules; returns the first error. */
async function check(policy: LeavePolicy, numRuns: number): Promise<unknown> {
  const model = createLeaveModel(policy)
  const property = fc.asyncProperty(schedules, (schedule) =>
    model({ schedule, tally: () => undefined }),
  )
  const details = await fc.check(property, { numRuns, seed: 7, endOnFailure: true })
  return details.failed ? details.errorInstance : undefined
}

describe('random fault schedules of a fleet with unforeseen errors', () => {
  it('violate no guarantee', async () => {
    assert.equal(await check(permission, LEAVE_RUNS || 200), undefined)
  })

  it('do without the brake', async () => {
    assert.ok((await check(noBrake, 20)) instanceof assert.AssertionError)
  })
})
