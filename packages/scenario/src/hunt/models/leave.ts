/**
 * Drains after errors that no code handles: whatever comes, at most a third of the instances
 * is out for them, and nobody is held for ever.
 */
import assert from 'node:assert/strict'
import { LeaveFleet } from '../../leaveFleet/leaveFleet.js'
import { unnoticedMs } from '../../leaveFleet/leavePlay.js'
import type { LeavePolicy } from '../../leaveFleet/leavePolicies.js'
import type { Model, Tally } from '../model.js'
import { NODES, SCHEDULE_MS, type Schedule, type Step } from '../schedule.js'

const INSTANCES_PER_NODE = 2
const INSTANCES = NODES * INSTANCES_PER_NODE

/** Time in which all that want to leave must have left and be back, in milliseconds. */
const RECOVERY_MS = 1_700_000

/**
 * Creates the model of a policy.
 *
 * @example
 * await createLeaveModel(permission)({ schedule, tally })
 */
export function createLeaveModel(policy: LeavePolicy): Model {
  return async ({ schedule, tally }) => {
    await Promise.resolve()
    runSchedule(policy, schedule, tally)
  }
}

function runSchedule(policy: LeavePolicy, schedule: Schedule, tally: Tally): void {
  const isWhole =
    schedule.networkLoss === 0 &&
    schedule.steps.every(({ step }) => step.type !== 'freeze')
  const fleet = LeaveFleet.create({
    seed: schedule.seed,
    instances: INSTANCES,
    policy,
    clockErrorMs: 1_000,
    loss: schedule.networkLoss,
    errorAtEachStart: false,
    minPlannedAgeMs: isWhole ? 0 : unnoticedMs(INSTANCES),
  })
  for (const { atMs, step } of schedule.steps)
    fleet.at(atMs, () => {
      tally(step.type)
      apply(fleet, step)
    })
  const result = fleet.run(
    SCHEDULE_MS + RECOVERY_MS,
    () => fleet.nowMs > SCHEDULE_MS && fleet.isCalm,
  )
  const text = JSON.stringify(result)
  assert.ok(result.maxOutAfterError <= INSTANCES / 3, text)
  assert.ok(result.maxOutAtLeave <= INSTANCES / 3, text)
  assert.equal(result.waitingCount, 0, text)
}

function apply(fleet: LeaveFleet, step: Step): void {
  switch (step.type) {
    case 'work':
      fleet.fail(step.node * INSTANCES_PER_NODE + (step.key % INSTANCES_PER_NODE))
      return
    case 'kill':
      fleet.stop(step.node * INSTANCES_PER_NODE)
      return
    case 'freeze': {
      const index = step.node * INSTANCES_PER_NODE + 1
      fleet.setGroup(index, index + 1)
      fleet.at(fleet.nowMs + step.ms, () => {
        fleet.setGroup(index, 0)
      })
      return
    }
    case 'outage':
      // Stricter than an outage of the store, which leaving does not need.
      for (let i = 0; i < INSTANCES; i += 1) fleet.fail(i)
      return
  }
}
