import assert from 'node:assert/strict'
import { test } from 'node:test'
import { EvidenceTable, LatestValues, VirtualClock } from '@wagtailway/core'
import { EvidenceSpread } from '../evidenceGossip.js'

const SUBJECT = 'rollout m@new#1 panel/dossier'
const EPOCH_MS = 1_000

interface Node {
  readonly evidence: EvidenceTable
  readonly values: LatestValues
  readonly spread: EvidenceSpread
}

function createNode(incarnation: string, clock: VirtualClock): Node {
  const evidence = EvidenceTable.create({
    source: incarnation,
    clock: clock.now,
    epochMs: EPOCH_MS,
  })
  const values = LatestValues.create({ clock: clock.now })
  const spread = EvidenceSpread.create({ evidence, values, incarnation })
  return { evidence, values, spread }
}

function total({ evidence }: Node): number {
  return evidence.sums(SUBJECT).reduce((sum, { values }) => sum + (values[0] ?? 0), 0)
}

void test('counts what others publish once, also what the last epoch added late', () => {
  const clock = VirtualClock.create()
  const [a, b] = [createNode('a', clock), createNode('b', clock)]
  b.evidence.add(SUBJECT, [1, 0.5])
  a.evidence.add(SUBJECT, [1, 0.25])
  a.spread.publish()
  a.evidence.add(SUBJECT, [1, 0.25])
  clock.advance(EPOCH_MS)
  a.evidence.add(SUBJECT, [1, 0.25])
  a.spread.publish()
  for (let i = 0; i < 3; i++) {
    b.values.receive(a.values.next())
    b.spread.receive([SUBJECT])
  }
  assert.equal(total(b), 4)
  assert.equal(total(a), 3)
})

void test('publishes nothing that each node measures by itself', () => {
  const node = createNode('a', VirtualClock.create())
  node.evidence.add('onTime panel/dossier m@new', [1, 1, 1])
  node.spread.publish()
  assert.deepEqual(node.values.next(), [])
})

void test('the evidence of two epochs fits into one message', () => {
  const clock = VirtualClock.create(3_000_000_000_000)
  const node = createNode('node-17-m5x2k9q1', clock)
  for (let i = 0; i < 200; i++) {
    node.evidence.add(SUBJECT, [1, 1, 1 / 3, 1 / 9, -0.1, -0.3, -0.7, -1.1, -1.7])
    if (i === 100) clock.advance(EPOCH_MS)
  }
  node.spread.publish()
  assert.equal(node.values.next().length, 1)
})
