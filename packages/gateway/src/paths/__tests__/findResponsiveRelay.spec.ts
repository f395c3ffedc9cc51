import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { seededRandom } from '@wagtailway/core'
import { findResponsiveRelay } from '../findResponsiveRelay.js'
import type { RelayCandidate } from '../selectRelay.js'

function candidatesOf(count: number): RelayCandidate[] {
  return Array.from({ length: count }, (_, i) => ({
    address: { name: `n${i}`, host: '10.1.0.1', port: 7_340 },
    zone: i % 2 === 0 ? 'z1' : 'z2',
    linkMbps: 100,
  }))
}

/** Searches among relays of which only those named bring a response. */
async function search(
  count: number,
  sound: readonly string[],
  seed: number,
): Promise<{ found: string | undefined; asked: string[]; mostAtATime: number }> {
  const asked: string[] = []
  let pending = 0
  let mostAtATime = 0
  const found = await findResponsiveRelay({
    candidates: candidatesOf(count),
    zone: 'z1',
    random: seededRandom(seed),
    bringsResponse: async ({ address: { name } }) => {
      asked.push(name)
      pending += 1
      mostAtATime = Math.max(mostAtATime, pending)
      await new Promise((resolve) => setImmediate(resolve))
      pending -= 1
      return sound.includes(name)
    },
  })
  return { found, asked, mostAtATime }
}

describe('findResponsiveRelay', () => {
  it('finds the only instance with a path among seven others, with any seed', async () => {
    for (let seed = 1; seed <= 50; seed += 1)
      assert.equal((await search(7, ['n6'], seed)).found, 'n6', `seed ${seed}`)
  })

  it('asks each instance once, few at a time, and not the whole of a large fleet', async () => {
    const { found, asked, mostAtATime } = await search(200, [], 1)
    assert.equal(found, undefined)
    assert.equal(new Set(asked).size, asked.length)
    assert.ok(asked.length <= 16, `${asked.length} asked`)
    assert.ok(mostAtATime <= 4, `${mostAtATime} at a time`)
  })

  it('asks no more once one has brought a response', async () => {
    const all = candidatesOf(200).map(({ address }) => address.name)
    const { asked } = await search(200, all, 1)
    assert.equal(asked.length, 4)
  })

  it('finds none where there is no other instance', async () => {
    assert.equal((await search(0, [], 1)).found, undefined)
  })
})
