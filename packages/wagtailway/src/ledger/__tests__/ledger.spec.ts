import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { VirtualClock } from '../../clock.js'
import { MemoryStore, type CallFault } from '../../platform/memoryStore.js'
import { billingSlotSchema, type BillingRecord } from '../billingRecord.js'
import { CopyStore } from '../copyStore.js'
import { Ledger } from '../ledger.js'

const SECONDS_PER_HOUR = 3_600
const REQUESTS_PER_SECOND = 35

function record(requestId: string): BillingRecord {
  return {
    requestId,
    workspace: 'kebele',
    classKey: 'kebele/queue-check',
    calls: [],
    costMicros: 5,
    atMs: 0,
  }
}

async function storedIds(store: MemoryStore): Promise<string[]> {
  const listed = await store.list('billing', '')
  if (listed.err) throw new Error('the store is unavailable')
  return listed.val.objects.flatMap(({ value }) =>
    billingSlotSchema.parse(value).records.map(({ requestId }) => requestId),
  )
}

describe('Ledger', () => {
  it('stores records in groups', async () => {
    const store = MemoryStore.create()
    const ledger = Ledger.create({ store, incarnation: 'n1-1' })
    ledger.add(record('a'))
    ledger.add(record('b'))
    assert.deepEqual(await ledger.flush(), ['a', 'b'])
    assert.equal(store.callCount('put'), 1)
    assert.equal(ledger.pendingCount, 0)
  })

  it('stores a record once when the confirmation of its write is lost', async () => {
    const faults: CallFault[] = ['unconfirmed']
    const store = MemoryStore.create(
      (op) => (op === 'put' ? faults.shift() : undefined) ?? 'none',
    )
    const ledger = Ledger.create({ store, incarnation: 'n1-1' })
    ledger.add(record('a'))
    await ledger.flush()
    ledger.add(record('b'))
    await ledger.flush()
    assert.deepEqual(await storedIds(store), ['a', 'b'])
  })

  it('retains records while the platform is unavailable', async () => {
    let isUnavailable = true
    const store = MemoryStore.create(() => (isUnavailable ? 'lost' : 'none'))
    const ledger = Ledger.create({ store, incarnation: 'n1-1', maxPending: 2 })
    ledger.add(record('a'))
    ledger.add(record('b'))
    assert.deepEqual(await ledger.flush(), [])
    assert.equal(ledger.hasRoom, false)
    isUnavailable = false
    assert.deepEqual(await ledger.flush(), ['a', 'b'])
  })

  it('stores no record again that another node has stored in its log', async () => {
    const store = MemoryStore.create()
    const value = { writer: 'n2-1', records: [record('a')] }
    await store.put('billing', 'n1-1/00000000', value, 0)
    const ledger = Ledger.create({ store, incarnation: 'n1-1' })
    ledger.add(record('a'))
    ledger.add(record('b'))
    await ledger.flush()
    assert.deepEqual(await storedIds(store), ['a', 'b'])
  })

  it('skips no slot when two flushes overlap', async () => {
    const store = MemoryStore.create()
    const ledger = Ledger.create({ store, incarnation: 'n1-1' })
    ledger.add(record('a'))
    await Promise.all([ledger.flush(), ledger.flush()])
    ledger.add(record('b'))
    await ledger.flush()
    const listed = await store.list('billing', '')
    const names = listed.ok ? listed.val.objects.map(({ name }) => name) : []
    assert.deepEqual(names, ['n1-1/00000000', 'n1-1/00000001'])
  })
})

describe('CopyStore', () => {
  const clock = VirtualClock.create()

  it('stores the records that an inactive owner has not stored, each once', async () => {
    const store = MemoryStore.create()
    const owner = Ledger.create({ store, incarnation: 'n1-1' })
    const entries = [owner.add(record('a'))]
    await owner.flush()
    entries.push(owner.add(record('b')))
    const copyStores = ['n2-1', 'n3-1'].map((self) =>
      CopyStore.create({ store, self, clock: clock.now }),
    )
    for (const copies of copyStores) {
      copies.receive({ incarnation: 'n1-1', entries, storedBelow: 0 })
    }
    assert.equal(await copyStores[0]?.recover(), 0)
    clock.advance(10_000)
    await Promise.all(copyStores.map((copies) => copies.recover()))
    // The owner was only paused and flushes the record too.
    await owner.flush()
    assert.deepEqual(await storedIds(store), ['a', 'b'])
    assert.deepEqual(
      copyStores.map(({ count }) => count),
      [0, 0],
    )
  })

  it('rejects copies without room and drops stored ones', () => {
    const store = MemoryStore.create()
    const copies = CopyStore.create({
      store,
      self: 'n2-1',
      clock: clock.now,
      maxCopies: 1,
    })
    const owner = Ledger.create({ store, incarnation: 'n1-1' })
    const [a, b] = [owner.add(record('a')), owner.add(record('b'))]
    const batch = { incarnation: 'n1-1', storedBelow: 0 }
    assert.equal(copies.receive({ ...batch, entries: [a] }), true)
    assert.equal(copies.receive({ ...batch, entries: [b] }), false)
    assert.equal(copies.receive({ ...batch, entries: [b], storedBelow: 1 }), true)
    assert.equal(copies.receive({ ...batch, entries: [a] }), false)
    assert.equal(copies.count, 1)
  })
})

describe('an hour without the platform', () => {
  it('loses and duplicates no record, and is written in few groups', async () => {
    let isPlatformDown = true
    const store = MemoryStore.create(() => (isPlatformDown ? 'lost' : 'none'))
    const ledger = Ledger.create({ store, incarnation: 'n1-1' })
    for (let second = 0; second < SECONDS_PER_HOUR; second++) {
      for (let i = 0; i < REQUESTS_PER_SECOND; i++) ledger.add(record(`${second}-${i}`))
      // One flush per minute is enough to show that failed attempts have no effect.
      if (second % 60 === 0) assert.deepEqual(await ledger.flush(), [])
    }
    assert.equal(ledger.hasRoom, true)
    isPlatformDown = false
    const putsBefore = store.callCount('put')
    await ledger.flush()
    const ids = await storedIds(store)
    assert.equal(ids.length, REQUESTS_PER_SECOND * SECONDS_PER_HOUR)
    assert.equal(new Set(ids).size, ids.length)
    assert.equal(store.callCount('put') - putsBefore, 63)
  })
})
