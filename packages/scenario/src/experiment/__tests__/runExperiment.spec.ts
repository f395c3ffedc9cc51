import assert from 'node:assert/strict'
import { test } from 'node:test'
import { seededRandom } from '@wagtailway/core'
import { defineExperiment } from '../experiment.js'
import { formatResult } from '../formatResult.js'
import { plotResult } from '../plotResult.js'
import { runExperiment } from '../runExperiment.js'
import { meanInterval, ratioInterval } from '../statistics.js'

const experiment = defineExperiment({
  name: 'sample',
  question: 'Does the half cost half?',
  policies: { half: 0.5, whole: 1 },
  workloads: { gebeta: 10, haneul: 20 },
  faults: { none: 0 },
  metrics: [{ name: 'cost', digits: 1, plotTitle: 'Cost' }],
  goals: [
    {
      name: 'half the cost',
      policy: 'half',
      baseline: 'whole',
      metric: 'cost',
      atMost: 0.5,
    },
    { name: 'free', policy: 'half', metric: 'cost', atMost: 0, workloads: ['haneul'] },
  ],
  trial: ({ policy, workload, seed }) => ({ cost: policy * workload * seed }),
})

void test('evaluates goals on the same seeds for candidate and baseline', () => {
  const { goals } = runExperiment(experiment, 3)
  assert.deepEqual(
    goals.map(({ goal, workload, isMet }) => [goal.name, workload, isMet]),
    [
      ['half the cost', 'gebeta', true],
      ['half the cost', 'haneul', true],
      ['free', 'haneul', false],
    ],
  )
})

void test('computes the mean and its interval, also for ratios', () => {
  const { mean, low, high } = meanInterval([1, 2, 3])
  assert.equal(mean, 2)
  assert.ok(Math.abs(high - 2 - 4.303 / Math.sqrt(3)) < 0.001)
  assert.ok(Math.abs(2 - low - (high - 2)) < 1e-9)
  const ratio = ratioInterval([1, 2, 3], [2, 4, 6], seededRandom(1))
  assert.deepEqual([ratio.low, ratio.mean, ratio.high], [0.5, 0.5, 0.5])
})

void test('formats a table and renders a plot', async () => {
  const result = runExperiment(experiment, 3)
  assert.match(formatResult(result), /MISSED +free +haneul +none +half +20\.000/)
  const [plot] = await plotResult(result)
  assert.equal(plot?.fileName, 'sample-cost.svg')
  assert.match(plot.svg, /^<svg.*<\/svg>\n$/s)
})
