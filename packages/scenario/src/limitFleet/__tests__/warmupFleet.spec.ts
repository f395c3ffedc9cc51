import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { LimitFleet, type LimitFleetResult } from '../limitFleet.js'
import { noLimit, type LimitPolicy } from '../limitPolicies.js'
import { COLD_BOUND, COLD_PER_S, allCold, oneCold } from '../warmupPolicies.js'

const REQUESTS_PER_S = 40
const FROM_MS = 4_000
const TROUBLE_AT_MS = 6_000
const UNTIL_MS = 13_000

/** Instances from which no reports are emulated, as they would take minutes. */
const LARGE_FLEET = 200

/** Part of the requests a second named by the service that must be sent if all come. */
const MIN_USED_SHARE = 0.6

/** Control traffic of a node on average, in bytes a second. */
const MAX_BYTES_PER_S = 3_000

const SEEDS = [1, 2, 3, 4]

interface Trial {
  readonly policy: LimitPolicy
  readonly instances: number
  readonly seed: number
  readonly loss?: number
  readonly trouble?: (fleet: LimitFleet, instances: number) => void
}

function trial({ trouble, loss = 0, ...opts }: Trial): Promise<LimitFleetResult> {
  const fleet = LimitFleet.create({
    ...opts,
    loss,
    requestsPerS: REQUESTS_PER_S,
    arrival: 'even',
    isSettled: opts.instances >= LARGE_FLEET,
    bound: { windowMs: 1_000, requests: COLD_BOUND },
  })
  fleet.world.after(TROUBLE_AT_MS, () => trouble?.(fleet, opts.instances))
  return fleet.run({ limit: COLD_PER_S, fromMs: FROM_MS, untilMs: UNTIL_MS })
}

function range(count: number): number[] {
  return Array.from({ length: count }, (_, i) => i)
}

/** Failures of the issuer, wherever it is: each comes to every instance. */
const TROUBLES: Readonly<Record<string, NonNullable<Trial['trouble']>>> = {
  'all instances restarted at once': (fleet, instances) => {
    fleet.restart(range(instances), 300)
  },
  'instances restarted one after the other': (fleet, instances) => {
    for (const i of range(Math.min(instances, 16)))
      fleet.world.after(i * 500, () => {
        fleet.restart([i], 300)
      })
  },
  'halves that do not reach each other': (fleet, instances) => {
    fleet.split(range(Math.floor(instances / 2)), 6_000)
  },
  'a third that does not reach the others': (fleet, instances) => {
    fleet.split(range(Math.ceil(instances / 3)), 6_000)
  },
  'a third of which each is alone': (fleet, instances) => {
    fleet.isolate(range(Math.ceil(instances / 3)), 6_000)
  },
}

describe('a fleet with a cold server', () => {
  it('sends it more than the bound without a limit', async () => {
    const { worst } = await trial({ policy: noLimit, instances: 8, seed: 1 })
    assert.ok(worst > COLD_BOUND, `${worst} of ${COLD_BOUND}`)
  })

  for (const instances of [8, 84, 430]) {
    // Guards against: bursts, and permits of the second before that are used in this one.
    it(`keeps to the bound at ${instances} instances, and uses it if all servers are cold`, async () => {
      const seeds = instances < 80 ? SEEDS : SEEDS.slice(0, 1)
      for (const seed of seeds) {
        const waiting = await trial({ policy: allCold, instances, seed })
        const ahead = await trial({ policy: oneCold, instances, seed })
        const message = `seed ${seed}: ${JSON.stringify({ waiting, ahead })}`
        assert.ok(waiting.worst <= COLD_BOUND, message)
        assert.ok(ahead.worst <= COLD_BOUND, message)
        assert.ok(waiting.usedShare >= MIN_USED_SHARE, message)
        assert.ok(waiting.meanBytesPerS <= MAX_BYTES_PER_S, message)
        assert.ok(ahead.meanBytesPerS <= MAX_BYTES_PER_S, message)
      }
    })
  }

  for (const [name, trouble] of Object.entries(TROUBLES)) {
    // Guards against: two issuers that add up to more than the bound.
    it(`keeps to the bound with ${name}, and a fifth of the datagrams lost`, async () => {
      for (const instances of [8, 84]) {
        // The reports of 84 instances take seconds in each run.
        for (const seed of instances < 80 ? SEEDS : SEEDS.slice(0, 1)) {
          const opts = { policy: allCold, instances, seed, loss: 0.2, trouble }
          const result = await trial(opts)
          const message = `${instances}, seed ${seed}: ${JSON.stringify(result)}`
          assert.ok(result.worst <= COLD_BOUND, message)
          assert.ok(result.usedShare >= MIN_USED_SHARE / 4, message)
        }
      }
    })
  }
})
