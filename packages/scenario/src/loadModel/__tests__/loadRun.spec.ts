import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { leastLoaded, ownLoad } from '@wagtailway/core'
import { capacityOf, runLoad, type ClassOutcome, type LoadClass } from '../loadRun.js'
import { pooled } from '../nodeModels.js'

const REPLICAS = 6
const SECONDS = 60

function run(load: number): ClassOutcome[] {
  const rate = capacityOf(REPLICAS) * load
  const target = { firstTokenTargetMs: 1_000 }
  const classes: LoadClass[] = [
    { workspace: 'a', share: 2, priority: 9, ...target, rate: () => rate * 0.02 },
    { workspace: 'a', share: 2, priority: 3, ...target, rate: () => rate * 0.38 },
    { workspace: 'b', share: 1, priority: 5, ...target, rate: () => rate * 0.3 },
    { workspace: 'c', share: 1, priority: 1, ...target, rate: () => rate * 0.3 },
  ]
  return runLoad({
    createNode: pooled(leastLoaded(ownLoad)),
    classes,
    nodes: 8,
    replicas: REPLICAS,
    seed: 1,
    warmUpMs: 40_000,
    durationMs: SECONDS * 1_000,
  })
}

/** Good responses per second. */
function goodput(outcomes: readonly ClassOutcome[]): number {
  return outcomes.reduce((sum, { good }) => sum + good, 0) / SECONDS
}

describe('the pool under overload', () => {
  it('retains 95 % of its goodput at ten times the capacity', () => {
    assert.ok(goodput(run(10)) >= 0.95 * goodput(run(1)))
  })

  it('serves the highest class in time and gives every workspace its share', () => {
    const outcomes = run(5)
    const [top, low, b, c] = outcomes
    assert.ok(top && low && b && c)
    assert.ok(top.good / top.offered > 0.99, `${top.good} of ${top.offered}`)
    const total = goodput(outcomes) * SECONDS
    const shares = [(top.good + low.good) / 2, b.good, c.good].map((n) => (n * 4) / total)
    assert.ok(Math.min(...shares) >= 0.9, shares.join(' '))
  })
})
