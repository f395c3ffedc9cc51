import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { monotonicClock } from '../../clock.js'
import { startTimer } from '../../csp/timers.js'
import { seededRandom } from '../../random.js'
import { MemoryStore, type CallFault } from '../../platform/memoryStore.js'
import { ClaimTable } from '../claimTable.js'

const wallClock = (): number => 1_000

const deps = { clock: monotonicClock, wallClock, random: seededRandom(1), startTimer }

describe('ClaimTable', () => {
  it('grants a key to one holder, also across nodes', async () => {
    const store = MemoryStore.create()
    const tables = [1, 2].map(() => ClaimTable.create({ store, kind: 'claim', ...deps }))
    const verdicts = await Promise.all(
      tables.map((table, i) => table.claim({ key: 'note', holder: `h${i}`, value: '' })),
    )
    assert.deepEqual(verdicts.map(({ type }) => type).toSorted(), ['granted', 'held'])
    for (const table of tables) table.close()
  })

  it('recognises its own write when the confirmation is lost', async () => {
    const faults: CallFault[] = ['unconfirmed']
    const store = MemoryStore.create(
      (op) => (op === 'put' ? faults.shift() : undefined) ?? 'none',
    )
    const table = ClaimTable.create({ store, kind: 'claim', ...deps })
    const verdict = await table.claim({ key: 'note', holder: 'h1', value: '' })
    assert.equal(verdict.type, 'granted')
    table.close()
  })

  it('grants nothing while the platform is away', async () => {
    const store = MemoryStore.create(() => 'lost')
    const table = ClaimTable.create({ store, kind: 'claim', ...deps })
    const verdict = await table.claim({ key: 'note', holder: 'h1', value: '' })
    assert.equal(verdict.type, 'unavailable')
    table.close()
  })

  it('shares writes between claims of one range', async () => {
    const store = MemoryStore.create()
    const table = ClaimTable.create({ store, kind: 'claim', ranges: 1, ...deps })
    const keys = Array.from({ length: 100 }, (_, i) => `k${i}`)
    await Promise.all(keys.map((key) => table.claim({ key, holder: key, value: '' })))
    assert.ok(store.calls('put') <= 3, `${store.calls('put')} writes`)
    table.close()
  })
})
