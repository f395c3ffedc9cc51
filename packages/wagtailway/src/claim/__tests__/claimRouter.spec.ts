import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { VirtualClock } from '../../clock.js'
import { startTimer } from '../../csp/timers.js'
import { MemoryStore } from '../../platform/memoryStore.js'
import { seededRandom } from '../../random.js'
import { ClaimRouter, type ClaimRouterOptions } from '../claimRouter.js'
import { ClaimTable, type ClaimVerdict } from '../claimTable.js'
import { Grant } from '../grant.js'

interface Member {
  readonly node: string
}

const deps = { clock: VirtualClock.create().now, wallClock: () => 1_000, startTimer }
const GRANTED: ClaimVerdict = { type: 'granted' }

function tableOn(store: MemoryStore): ClaimTable {
  return ClaimTable.create({ store, kind: 'claim', random: seededRandom(1), ...deps })
}

function setUp(send: ClaimRouterOptions<Member>['send']) {
  const store = MemoryStore.create()
  const table = tableOn(store)
  const router = ClaimRouter.create<Member>({
    table,
    self: { node: 'n0' },
    aliveMembers: () => [{ node: 'n1' }],
    send,
    sendNote: () => Promise.reject(new Error('no response')),
    ownerTimeoutMs: 5,
    ...deps,
  })
  // Keys whose ranges belong to either of the two members.
  const keys = Array.from({ length: 1_000 }, (_, i) => `k${i}`)
  return { store, table, router, keys }
}

describe('ClaimRouter', () => {
  it('distributes the ranges over the alive members', async () => {
    let sent = 0
    const { router, keys, table } = setUp(() => {
      sent += 1
      return Promise.resolve(GRANTED)
    })
    await Promise.all(
      keys.slice(0, 100).map((key) => router.claim({ key, holder: key, value: '' })),
    )
    assert.ok(sent > 20 && sent < 80, `${sent} of 100 sent`)
    assert.ok(router.ownedRanges > 5 && router.ownedRanges < 27)
    table.close()
  })

  it('grants the claim again to the same holder if the response of the owner was lost', async () => {
    const { router, table, store, keys } = setUp(async (_, request) => {
      const owner = tableOn(store)
      assert.deepEqual(await owner.claim(request), GRANTED)
      owner.close()
      throw new Error('the response was lost')
    })
    for (const key of keys.slice(0, 10)) {
      const verdict = await router.claim({ key, holder: `h-${key}`, value: '' })
      assert.deepEqual(verdict, GRANTED)
      const repeated = await router.claim({ key, holder: 'other', value: '' })
      assert.equal(repeated.type, 'held')
    }
    table.close()
  })

  it('bypasses an owner that does not respond', async () => {
    let sent = 0
    const { router, table, keys } = setUp(() => {
      sent += 1
      return new Promise(() => undefined)
    })
    for (const key of keys.slice(0, 20)) {
      const verdict = await router.claim({ key, holder: 'h', value: '' })
      assert.deepEqual(verdict, GRANTED)
    }
    assert.equal(sent, 1)
    table.close()
  })
})

describe('Grant', () => {
  it('expires long before the claim on its key', async () => {
    let nowMs = 0
    const claims = {
      claim: () => Promise.resolve(GRANTED),
      note: () => undefined,
    }
    const clock = (): number => nowMs
    const grant = Grant.create({ claims, key: 'k', holder: 'h', clock })
    assert.equal(grant.isValid, false)
    await grant.claim()
    assert.equal(grant.isValid, true)
    nowMs = 60_000
    assert.equal(grant.isValid, false)
  })

  it('gives up its key after an undecided claim, so that a repeated request is not blocked', async () => {
    const notes: string[] = []
    const claims = {
      claim: (): Promise<ClaimVerdict> => Promise.resolve({ type: 'unavailable' }),
      note: (key: string, holder: string, note: string) => {
        notes.push(`${key} ${holder} ${note}`)
      },
    }
    const clock = (): number => 0
    const grant = Grant.create({ claims, key: 'k', holder: 'h', clock })
    await grant.claim()
    assert.deepEqual(notes, ['k h given_up'])
  })
})
