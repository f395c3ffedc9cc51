import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { seededRandom } from '@wagtailway/core'
import { FeedFleet } from '../feedFleet.js'
import { largeConfig } from '../largeConfig.js'

/** Time within which a change must be in force at every instance, in milliseconds. */
const MAX_PROPAGATION_MS = 3_000

/** Most routes that one change adds on the users' platform. */
const LARGE_ROUTE_COUNT = 1_400

const SMALL_ROUTE_COUNT = 12

/** Time until the instances know each other and have their first list, in milliseconds. */
const WARM_UP_MS = 6_000

const FLEET = {
  zones: 3,
  machinesPerZone: [
    { count: 2, linkMbps: 200 },
    { count: 23, linkMbps: 10 },
  ],
  storeLinkMbps: 1_000,
  maxPropagationMs: MAX_PROPAGATION_MS,
}

function createFleet(seed: number): FeedFleet {
  return FeedFleet.create({ ...FLEET, seed })
}

async function warmUp(fleet: FeedFleet, routeCount: number): Promise<unknown> {
  const contents = largeConfig(routeCount, seededRandom(7))
  fleet.putConfig(1, contents)
  await fleet.run(WARM_UP_MS)
  return contents
}

function slowest(fleet: FeedFleet, version: number): number {
  return Math.max(...fleet.propagations(version).map(({ delayMs }) => delayMs))
}

/** Stores twelve versions; returns the longest delay of each, in milliseconds. */
async function storeTwelve(
  fleet: FeedFleet,
  contents: unknown,
  gapMs: number,
): Promise<number[]> {
  const versions = Array.from({ length: 12 }, (_, i) => i + 2)
  for (const version of versions) {
    fleet.putConfig(version, contents)
    await fleet.run(gapMs)
  }
  await fleet.run(3 * MAX_PROPAGATION_MS)
  return versions.map((version) => slowest(fleet, version))
}

describe('a fleet of 75 instances, most on links of 10 Mbit/s', () => {
  it('calls the store only from the first instance of each zone while nothing changes', async () => {
    const fleet = createFleet(1)
    await warmUp(fleet, SMALL_ROUTE_COUNT)
    const callers = new Set<string>()
    fleet.losesStoreCall = (node) => {
      callers.add(node)
      return false
    }
    await fleet.run(30_000)
    assert.deepEqual([...callers].toSorted(), fleet.watchers.toSorted())
  })

  it('follows a restored store within the limit, with few calls', async () => {
    const fleet = createFleet(1)
    const contents = await warmUp(fleet, SMALL_ROUTE_COUNT)
    const copy = fleet.store.copy()
    fleet.putConfig(2, contents)
    await fleet.run(MAX_PROPAGATION_MS)
    fleet.restoreStore(copy)
    const callsBefore = fleet.storeCalls
    await fleet.run(MAX_PROPAGATION_MS)
    assert.ok(Math.max(...fleet.noticeDelaysMs) <= MAX_PROPAGATION_MS)
    assert.ok(fleet.storeCalls - callsBefore <= 30, `${fleet.storeCalls - callsBefore}`)
  })

  it('applies a change to a small configuration within the limit', async () => {
    const fleet = createFleet(1)
    const contents = await warmUp(fleet, SMALL_ROUTE_COUNT)
    fleet.putConfig(2, contents)
    await fleet.run(MAX_PROPAGATION_MS)
    assert.ok(slowest(fleet, 2) <= MAX_PROPAGATION_MS, `${slowest(fleet, 2)} ms`)
  })

  it('applies a change to a configuration of 1,400 routes within the limit', async () => {
    const fleet = createFleet(1)
    const contents = await warmUp(fleet, LARGE_ROUTE_COUNT)
    fleet.putConfig(2, contents)
    await fleet.run(2 * MAX_PROPAGATION_MS)
    assert.ok(slowest(fleet, 2) <= MAX_PROPAGATION_MS, `${slowest(fleet, 2)} ms`)
  })

  it('applies each of twelve changes in quick succession to such a configuration within the limit', async () => {
    const fleet = createFleet(1)
    const contents = await warmUp(fleet, LARGE_ROUTE_COUNT)
    const delaysMs = await storeTwelve(fleet, contents, 330)
    assert.ok(Math.max(...delaysMs) <= MAX_PROPAGATION_MS, delaysMs.join(' '))
  })

  it('applies changes within the limit although its watchers lose the store and every second poll is lost', async () => {
    const fleet = createFleet(1)
    const contents = await warmUp(fleet, SMALL_ROUTE_COUNT)
    const watchers = new Set(fleet.watchers)
    fleet.losesStoreCall = (node, callNumber) =>
      watchers.has(node) || callNumber % 2 === 0
    const delaysMs = await storeTwelve(fleet, contents, 1_000)
    assert.ok(Math.max(...delaysMs) <= MAX_PROPAGATION_MS, delaysMs.join(' '))
  })
})

/** The bound on evacuations, and the one that their feed goes by, in milliseconds. */
const EVACUATION_MS = 5_000
const CONTACT_MS = 4_000

describe('a fleet that follows evacuations', () => {
  for (const { zones, count } of [
    { zones: 2, count: 4 },
    { zones: 3, count: 25 },
  ]) {
    const size = zones * count
    const createEvacuated = async (): Promise<FeedFleet> => {
      const machinesPerZone = [{ count, linkMbps: 10 }]
      const maxPropagationMs = CONTACT_MS
      const fleet = FeedFleet.create({
        ...FLEET,
        seed: 1,
        zones,
        machinesPerZone,
        maxPropagationMs,
      })
      fleet.putConfig(1, {})
      await fleet.run(WARM_UP_MS)
      return fleet
    }

    it(`of ${size} applies one within the bound although its watchers lose the store`, async () => {
      const fleet = await createEvacuated()
      const watchers = new Set(fleet.watchers)
      fleet.losesStoreCall = (node) => watchers.has(node) && size > 10
      // Until the watches that still wait have ended.
      await fleet.run(2 * CONTACT_MS)
      fleet.putConfig(2, {})
      await fleet.run(EVACUATION_MS)
      assert.ok(slowest(fleet, 2) <= EVACUATION_MS, `${slowest(fleet, 2)} ms`)
    })

    it(`of ${size} makes few calls for it while nothing changes`, async () => {
      const fleet = await createEvacuated()
      const before = fleet.storeCalls
      await fleet.run(30_000)
      const callsPerS = (fleet.storeCalls - before) / 30
      // In a small fleet each instance watches for 2 s, otherwise one of each zone for 1.3 s.
      const expectedPerS = size <= 10 ? size / 2 : zones / 1.3
      assert.ok(callsPerS <= 1.1 * expectedPerS, `${callsPerS} a second`)
    })
  }
})

describe('a fleet of 75 instances on links of 10 Mbit/s', () => {
  it('applies each of twelve changes in quick succession to 1,400 routes within the limit', async () => {
    const fleet = FeedFleet.create({
      ...FLEET,
      seed: 1,
      machinesPerZone: [{ count: 25, linkMbps: 10 }],
    })
    const contents = await warmUp(fleet, LARGE_ROUTE_COUNT)
    const delaysMs = await storeTwelve(fleet, contents, 330)
    assert.ok(Math.max(...delaysMs) <= MAX_PROPAGATION_MS, delaysMs.join(' '))
  })
})
