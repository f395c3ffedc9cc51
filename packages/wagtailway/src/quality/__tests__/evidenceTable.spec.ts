import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { VirtualClock } from '../../clock.js'
import { EvidenceTable, type EvidenceCell } from '../evidenceTable.js'

const EPOCH_MS = 1_000

function createTable(source: string, clock: VirtualClock): EvidenceTable {
  return EvidenceTable.create({
    source,
    clock: clock.now,
    epochMs: EPOCH_MS,
    retentionEpochs: 3,
    cellRetentionEpochs: 2,
  })
}

void test('merging copies repeatedly and in any order never counts evidence twice', () => {
  const clock = VirtualClock.create()
  const [a, b] = [createTable('a', clock), createTable('b', clock)]
  const copies: EvidenceCell[] = []
  for (let i = 0; i < 6; i++) {
    a.add('s', [1, 0.5])
    if (i % 2 === 0) b.add('s', [1, 1])
    copies.push(...a.cells(), ...b.cells())
    clock.advance(EPOCH_MS / 4)
  }
  const order = fc.shuffledSubarray([...copies, ...copies], {
    minLength: copies.length * 2,
  })
  fc.assert(
    fc.property(order, (shuffled) => {
      const merged = createTable('c', clock)
      merged.merge(shuffled)
      const total = merged
        .sums('s')
        .reduce((sum, { values }) => sum + (values[0] ?? 0), 0)
      assert.equal(total, 9)
    }),
    { seed: 5, numRuns: 50 },
  )
})

void test('takeChanged returns each changed cell of the own incarnation once', () => {
  const table = createTable('a', VirtualClock.create())
  table.add('s', [1])
  table.add('s', [1])
  assert.deepEqual(
    table.takeChanged().map(({ sequence, values }) => [sequence, values]),
    [[2, [2]]],
  )
  assert.deepEqual(table.takeChanged(), [])
})

void test('retains the sums of epochs whose cells were dropped', () => {
  const clock = VirtualClock.create()
  const table = createTable('a', clock)
  const other = createTable('b', clock)
  other.add('s', [1])
  table.merge(other.cells())
  clock.advance(2 * EPOCH_MS)
  assert.deepEqual(table.cells(), [])
  assert.deepEqual(table.sums('s'), [{ epoch: 0, values: [1] }])
})

void test('drops old epochs and does not merge them again', () => {
  const clock = VirtualClock.create()
  const table = createTable('a', clock)
  table.add('s', [1])
  const old = table.cells()
  clock.advance(3 * EPOCH_MS)
  table.add('s', [1])
  assert.deepEqual(table.sums('s'), [{ epoch: 3, values: [1] }])
  assert.equal(table.merge(old), 0)
})
