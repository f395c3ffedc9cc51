import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { VirtualClock, monotonicClock } from '../../clock.js'
import { startTimer } from '../../csp/timers.js'
import { seededRandom } from '../../random.js'
import { MemoryStore, type CallFault } from '../../platform/memoryStore.js'
import type { ObjectStore } from '../../platform/objectStore.js'
import { ClaimTable, type ClaimVerdict } from '../claimTable.js'

const wallClock = (): number => 1_000

/** Long enough that no claim times out on a busy machine, in milliseconds. */
const timeoutMs = 60_000

const deps = {
  clock: monotonicClock,
  wallClock,
  random: seededRandom(1),
  startTimer,
  timeoutMs,
}

describe('ClaimTable', () => {
  it('grants a key to one holder across nodes', async () => {
    const store = MemoryStore.create()
    const tables = [1, 2].map(() => ClaimTable.create({ store, kind: 'claim', ...deps }))
    const verdicts = await Promise.all(
      tables.map((table, i) => table.claim({ key: 'note', holder: `h${i}`, value: '' })),
    )
    assert.deepEqual(verdicts.map(({ type }) => type).toSorted(), ['granted', 'held'])
    for (const table of tables) table.close()
  })

  it('recognises its own write after its confirmation was lost', async () => {
    const faults: CallFault[] = ['unconfirmed']
    const store = MemoryStore.create(
      (op) => (op === 'put' ? faults.shift() : undefined) ?? 'none',
    )
    const table = ClaimTable.create({ store, kind: 'claim', ...deps })
    const verdict = await table.claim({ key: 'note', holder: 'h1', value: '' })
    assert.equal(verdict.type, 'granted')
    table.close()
  })

  it('grants nothing while the platform is unavailable', async () => {
    const store = MemoryStore.create(() => 'lost')
    const table = ClaimTable.create({ store, kind: 'claim', ...deps })
    const verdict = await table.claim({ key: 'note', holder: 'h1', value: '' })
    assert.equal(verdict.type, 'unavailable')
    table.close()
  })

  it('groups claims of one range into shared writes', async () => {
    const store = MemoryStore.create()
    const table = ClaimTable.create({ store, kind: 'claim', ranges: 1, ...deps })
    const keys = Array.from({ length: 100 }, (_, i) => `k${i}`)
    await Promise.all(keys.map((key) => table.claim({ key, holder: key, value: '' })))
    assert.ok(store.callCount('put') <= 3, `${store.callCount('put')} writes`)
    table.close()
  })

  it('retries after conflicts until every claim is granted', async () => {
    const store = MemoryStore.create()
    const opts = { store, ranges: 1, ...deps }
    const tables = Array.from({ length: 12 }, () =>
      ClaimTable.create({ kind: 'claim', ...opts }),
    )
    const verdicts = await Promise.all(
      tables.map((table, i) => table.claim({ key: `k${i}`, holder: `h${i}`, value: '' })),
    )
    assert.ok(verdicts.every(({ type }) => type === 'granted'))
    for (const table of tables) table.close()
  })

  it('frees a key that was given up, also on a node that saw it held', async () => {
    const store = MemoryStore.create()
    const [first, other] = [1, 2].map(() =>
      ClaimTable.create({ store, kind: 'claim', ...deps }),
    )
    assert.ok(first && other)
    const claim = { key: 'note', value: '' }
    await first.claim({ ...claim, holder: 'h1' })
    assert.equal((await other.claim({ ...claim, holder: 'h2' })).type, 'held')
    first.note('note', 'h1', 'given_up')
    assert.equal((await first.claim({ ...claim, holder: 'h3' })).type, 'granted')
    const verdict = await other.claim({ ...claim, holder: 'h2' })
    assert.deepEqual(verdict, { type: 'held', holder: 'h3', value: '', done: false })
    for (const table of [first, other]) table.close()
  })

  it('reports to later claimants that the work is finished', async () => {
    const store = MemoryStore.create()
    const table = ClaimTable.create({ store, kind: 'claim', ...deps })
    await table.claim({ key: 'note', holder: 'h1', value: '' })
    table.note('note', 'h1', 'done')
    // The next write of the range includes the note.
    await table.claim({ key: 'note', holder: 'h1', value: '' })
    const other = ClaimTable.create({ store, kind: 'claim', ...deps })
    const verdict = await other.claim({ key: 'note', holder: 'h2', value: '' })
    assert.deepEqual(verdict, { type: 'held', holder: 'h1', value: '', done: true })
    for (const openTable of [table, other]) openTable.close()
  })

  it('refuses new keys beyond the maximum object size', async () => {
    const store = MemoryStore.create()
    const table = ClaimTable.create({
      store,
      kind: 'claim',
      ranges: 1,
      maxObjectBytes: 100,
      ...deps,
    })
    const claim = (key: string): Promise<string> =>
      table.claim({ key, holder: key, value: '' }).then(({ type }) => type)
    assert.equal(await claim('a'), 'granted')
    assert.equal(await claim('b'), 'unavailable')
    assert.equal(await claim('a'), 'granted')
    table.close()
  })

  it('lets one group call an unresponsive platform and decides the others at once', async () => {
    const clock = VirtualClock.create()
    const lost = MemoryStore.create(() => 'lost')
    const unresponsive = new Promise<never>(() => undefined)
    let isUnresponsive = false
    const store: ObjectStore = {
      get: (kind, name) => (isUnresponsive ? unresponsive : lost.get(kind, name)),
      list: () => unresponsive,
      watch: () => unresponsive,
      put: () => unresponsive,
    }
    const opts = { ...deps, clock: clock.now, store, ranges: 1 }
    const table = ClaimTable.create({ ...opts, kind: 'claim' })
    const claim = (key: string): Promise<ClaimVerdict> =>
      table.claim({ key, holder: key, value: '' })
    assert.equal((await claim('a')).type, 'unavailable')
    isUnresponsive = true
    clock.advance(1_000)
    void claim('b')
    // The call for `b` never completes; the claim on `c` must not wait for it.
    assert.equal((await claim('c')).type, 'unavailable')
    table.close()
  })

  it('decides a permanent claim from memory while the platform is unavailable', async () => {
    let isUnavailable = false
    let nowMs = 1_000
    const table = ClaimTable.create({
      ...deps,
      wallClock: () => nowMs,
      store: MemoryStore.create(() => (isUnavailable ? 'lost' : 'none')),
      kind: 'session',
      retentionMs: 10_000,
      renews: true,
      permanent: true,
    })
    const claim = (holder: string): Promise<ClaimVerdict> =>
      table.claim({ key: 's1', holder, value: holder })
    await claim('v1')
    isUnavailable = true
    // Old enough for renewal, which fails while the platform is unavailable.
    nowMs += 6_000
    for (let i = 0; i < 2; i++) {
      const verdict = await claim('v2')
      assert.deepEqual(verdict, { type: 'held', holder: 'v1', value: 'v1', done: false })
    }
    nowMs += 6_000
    assert.equal((await claim('v2')).type, 'unavailable')
    table.close()
  })
})
