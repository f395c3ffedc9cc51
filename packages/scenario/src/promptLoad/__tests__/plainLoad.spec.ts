import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { aggregateByZone, reportToEach } from '../loadSharing.js'
import { runPlainLoad, type PlainRunOptions } from '../plainRun.js'

const SLOW_SERVER = 2
const SLOW_FACTOR = 4

/** The list service of the fleet of hundreds. */
const LARGE: PlainRunOptions = {
  nodes: 195,
  zones: 5,
  servers: 5,
  slots: 6,
  workMs: 85.7,
  utilization: 0.3,
  durationMs: 12_000,
  shareLoads: aggregateByZone,
  slowdownAt: () => 1,
  seed: 1,
}

const SMALL: Partial<PlainRunOptions> = { nodes: 8, zones: 1, shareLoads: reportToEach }

function lateShare(changes: Partial<PlainRunOptions>): number {
  return runPlainLoad({ ...LARGE, ...changes }).lateShare
}

describe('short requests of 195 instances on five servers', () => {
  it('are as punctual as those of 8 instances at any load', () => {
    for (const utilization of [0.3, 0.6, 0.9]) {
      const [large, small] = [
        lateShare({ utilization }),
        lateShare({ ...SMALL, utilization }),
      ]
      assert.ok(large <= small + 0.01, `${utilization}: ${large} ${small}`)
    }
  })

  it('leave a server that is four times as slow, at a low load and at a high one', () => {
    const slowdownAt = (server: number, atMs: number): number =>
      server === SLOW_SERVER && atMs > 3_000 && atMs < 8_000 ? SLOW_FACTOR : 1
    // A fifth of the capacity is nearly gone in five of the twelve seconds.
    for (const [utilization, most] of [
      [0.3, 0.05],
      [0.9, 0.2],
    ] as const) {
      const late = lateShare({ utilization, slowdownAt })
      assert.ok(late <= most, `${utilization}: ${late}`)
    }
  })

  it('avoid no server while all are slower by half', () => {
    assert.ok(lateShare({ utilization: 0.5, slowdownAt: () => 1.5 }) <= 0.01)
  })
})
