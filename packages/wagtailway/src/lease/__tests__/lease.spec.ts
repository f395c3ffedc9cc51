import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { VirtualClock } from '../../clock.js'
import { MemoryStore, type CallFault } from '../../platform/memoryStore.js'
import { FencedObject } from '../fencedObject.js'
import { Lease } from '../lease.js'

const LEASE_MS = 10_000

function setUp(faults: CallFault[] = []) {
  const store = MemoryStore.create(
    (op) => (op === 'put' ? faults.shift() : undefined) ?? 'none',
  )
  const clock = VirtualClock.create()
  const [first, second] = ['n1-1', 'n2-1'].map((holder) =>
    Lease.create({ store, name: 'rollout', holder, leaseMs: LEASE_MS, clock: clock.now }),
  )
  assert.ok(first && second)
  return { store, clock, first, second }
}

describe('Lease', () => {
  it('is taken over after a whole lease time without renewal, with a higher token', async () => {
    const { clock, first, second } = setUp()
    assert.equal(await first.poll(), 1)
    assert.equal(await second.poll(), undefined)
    clock.advance(LEASE_MS - 1)
    assert.equal(await second.poll(), undefined)
    assert.equal(first.fence, undefined)
    clock.advance(1)
    assert.equal(await second.poll(), 2)
    assert.equal(await first.poll(), undefined)
  })

  it('stays with its holder while it is renewed', async () => {
    const { clock, first, second } = setUp()
    for (let i = 0; i < 10; i++) {
      assert.equal(await first.poll(), 1)
      assert.equal(await second.poll(), undefined)
      clock.advance(LEASE_MS / 2)
    }
  })

  it('expires relative to the write that was stored, not to a later attempt', async () => {
    const { clock, first } = setUp(['none', 'unconfirmed', 'lost'])
    await first.poll()
    clock.advance(1_000)
    await first.poll()
    clock.advance(7_000)
    await first.poll()
    // The renewal at second 1 is the last one stored, so the lease expires at 1 + 9 seconds.
    assert.equal(first.remainingMs, 2_000)
  })

  it('can be acquired immediately after a release', async () => {
    const { first, second } = setUp()
    await first.poll()
    await first.release()
    assert.equal(first.fence, undefined)
    assert.equal(await second.poll(), 2)
  })
})

describe('FencedObject', () => {
  it('rejects a former holder before and after the new holder writes its token', async () => {
    const { store, clock, first, second } = setUp()
    const objectOf = (lease: Lease): FencedObject =>
      FencedObject.create({ store, kind: 'status', name: 'rollout', lease })
    await first.poll()
    await second.poll()
    assert.ok((await objectOf(first).update(() => 'canary')).ok)
    clock.advance(LEASE_MS)
    await second.poll()
    const lateUpdate = await objectOf(first).update(() => 'promoted by a former holder')
    assert.deepEqual(lateUpdate.val, { type: 'fenced' })
    assert.ok((await objectOf(second).update((value) => value)).ok)
    // A former holder that still counts itself as the holder finds the higher token.
    const staleObject = FencedObject.create({
      store,
      kind: 'status',
      name: 'rollout',
      lease: { fence: 1 },
    })
    assert.deepEqual((await staleObject.update(() => 'late')).val, {
      type: 'fenced',
    })
    const read = await store.get('status', 'rollout')
    assert.deepEqual(read.ok && read.val?.value, { fence: 2, value: 'canary' })
  })
})
