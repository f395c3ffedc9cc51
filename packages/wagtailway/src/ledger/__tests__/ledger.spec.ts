import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { MemoryStore, type CallFault } from '../../platform/memoryStore.js'
import { billingSlotSchema, type BillingRecord } from '../billingRecord.js'
import { Ledger } from '../ledger.js'

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
  if (listed.err) throw new Error('the store is away')
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
    assert.equal(store.calls('put'), 1)
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

  it('keeps records while the platform is away', async () => {
    let away = true
    const store = MemoryStore.create(() => (away ? 'lost' : 'none'))
    const ledger = Ledger.create({ store, incarnation: 'n1-1', maxPending: 2 })
    ledger.add(record('a'))
    ledger.add(record('b'))
    assert.deepEqual(await ledger.flush(), [])
    assert.equal(ledger.hasRoom, false)
    away = false
    assert.deepEqual(await ledger.flush(), ['a', 'b'])
  })

  it('adopts a slot that another node has written for it', async () => {
    const store = MemoryStore.create()
    const value = { writer: 'n2-1', records: [record('a')] }
    await store.put('billing', 'n1-1/00000000', value, 0)
    const ledger = Ledger.create({ store, incarnation: 'n1-1' })
    ledger.add(record('a'))
    ledger.add(record('b'))
    await ledger.flush()
    assert.deepEqual(await storedIds(store), ['a', 'b'])
  })
})
