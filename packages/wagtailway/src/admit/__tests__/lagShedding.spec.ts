import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { seededRandom } from '../../random.js'
import { lagShedding } from '../lagShedding.js'

function countRefused(lagMs: number): number {
  const shed = lagShedding({ random: seededRandom(1), lagMs: () => lagMs })
  return Array.from({ length: 1_000 }, () => shed()).filter(Boolean).length
}

describe('lagShedding', () => {
  it('admits all requests while the event-loop delay is low', () => {
    assert.equal(countRefused(250), 0)
  })

  it('refuses more requests as the delay grows, and finally all', () => {
    const half = countRefused(625)
    assert.ok(half > 400 && half < 600, `${half} of 1000`)
    assert.equal(countRefused(1_000), 1_000)
  })
})
