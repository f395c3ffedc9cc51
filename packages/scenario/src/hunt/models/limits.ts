/**
 * Rate limits of servers: a server that names a limit gets no more requests in any four
 * seconds than the promise allows, and is in use again once all faults have ended.
 */
import assert from 'node:assert/strict'
import { LimitFleet } from '../../limitFleet/limitFleet.js'
import type { LimitPolicy } from '../../limitFleet/limitPolicies.js'
import type { Model, Tally } from '../model.js'
import { NODES, SCHEDULE_MS, type Schedule, type Step } from '../schedule.js'

/** Limits that a schedule may play, in requests a second. */
const LIMITS = [0.5, 1, 4, 20]

const LIMIT_FROM_MS = 2_000

/** Time without faults before the limit ends, in milliseconds. */
const RECOVERY_MS = 20_000

/** Requests in the burst of one step, and times for which a killed instance is away. */
const BURST_REQUESTS = 12
const MAX_DOWN_MS = 2_500

/** Requests a second besides the bursts, as a multiple of the limit. */
const REQUESTS_PER_LIMIT = 4

/** Part of the limit that must be used after the recovery. */
const MIN_USED_SHARE = 0.6

/**
 * Creates the model of a policy.
 *
 * @example
 * await createLimitsModel(permits)({ schedule, tally })
 */
export function createLimitsModel(policy: LimitPolicy): Model {
  return ({ schedule, tally }) => runSchedule(policy, schedule, tally)
}

async function runSchedule(
  policy: LimitPolicy,
  schedule: Schedule,
  tally: Tally,
): Promise<void> {
  const limit = LIMITS[schedule.seed % LIMITS.length] ?? 1
  const fleet = LimitFleet.create({
    seed: schedule.seed,
    instances: NODES,
    policy,
    requestsPerS: limit * REQUESTS_PER_LIMIT,
    arrival: 'even',
    loss: schedule.networkLoss,
  })
  for (const { atMs, step } of schedule.steps) {
    fleet.world.after(atMs, () => {
      tally(step.type)
      apply(fleet, step)
    })
  }
  const untilMs = SCHEDULE_MS + RECOVERY_MS
  const result = await fleet.run({ limit, fromMs: LIMIT_FROM_MS, untilMs })
  const text = `limit ${limit}: ${JSON.stringify(result)}`
  assert.ok(result.worst <= result.allowed, text)
  assert.ok(result.finalUsedShare >= MIN_USED_SHARE, text)
}

function apply(fleet: LimitFleet, step: Step): void {
  switch (step.type) {
    case 'work':
      fleet.burst(step.node, BURST_REQUESTS)
      return
    case 'kill':
      fleet.restart([step.node], MAX_DOWN_MS * fleet.world.random())
      return
    case 'freeze':
      // Stricter than a freeze: the instance goes on sending to the server.
      fleet.isolate([step.node], step.ms)
      return
    case 'outage':
      // Permits don't need the store.
      return
  }
}
