import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { VirtualClock } from '../../clock.js'
import type { MemberIdentity } from '../../member/member.js'
import { MemoryStore } from '../../platform/memoryStore.js'
import type { CopyBatch } from '../copyStore.js'
import { CopySender } from '../copySender.js'
import { chooseCopyTargets } from '../copyTargets.js'
import { Ledger } from '../ledger.js'

function member(node: string, zone: string, region = 'r1'): MemberIdentity {
  return { node, zone, region, incarnation: `${node}-1`, address: node }
}

const GATHER_MS = 7

const self = member('n0', 'z1')

interface Sent {
  readonly to: string
  readonly batch: CopyBatch
  readonly answer: (accepted: boolean) => void
}

function setUp(alive: MemberIdentity[]) {
  const clock = VirtualClock.create()
  const ledger = Ledger.create({ store: MemoryStore.create(), incarnation: 'n0-1' })
  const sent: Sent[] = []
  const gathered: (() => void)[] = []
  const sender = CopySender.create({
    self,
    ledger,
    alive: () => alive,
    send: ({ node }, batch) =>
      new Promise((answer) => {
        sent.push({ to: node, batch, answer })
      }),
    clock: clock.now,
    startTimer: (ms, fn) => {
      if (ms === GATHER_MS) gathered.push(fn)
      return () => undefined
    },
    gatherMs: GATHER_MS,
  })
  let count = 0
  const copy = (): Promise<boolean> => {
    count += 1
    const record = { requestId: `q${count}`, workspace: 'w', classKey: 'w/c' }
    return sender.copy(ledger.add({ ...record, calls: [], costMicros: 1, atMs: 0 }))
  }
  const takeSent = (): Sent[] => sent.splice(0)
  const endGathering = (): void => {
    for (const fn of gathered.splice(0)) fn()
  }
  return { ledger, sender, copy, takeSent, endGathering }
}

async function nextSent(takeSent: () => Sent[]): Promise<Sent> {
  for (;;) {
    const [sent] = takeSent()
    if (sent) return sent
    await Promise.resolve()
  }
}

function idsOf({ batch }: Sent): string[] {
  return batch.entries.map(({ record }) => record.requestId)
}

describe('CopySender', () => {
  it('releases on the first confirmation and makes the second copy later', async () => {
    const { copy, takeSent, endGathering } = setUp([
      member('n1', 'z2'),
      member('n2', 'z3'),
    ])
    const copied = [copy(), copy()]
    const [first] = takeSent()
    first?.answer(true)
    assert.equal(await copied[0], true)
    const [next] = takeSent()
    assert.equal(next?.to, first?.to)
    endGathering()
    const [later] = takeSent()
    assert.notEqual(later?.to, first?.to)
    assert.deepEqual(later && idsOf(later), ['q1', 'q2'])
  })

  it('asks the other member at once if the first fails', async () => {
    const { copy, takeSent } = setUp([member('n1', 'z2'), member('n2', 'z3')])
    const copied = copy()
    const [first] = takeSent()
    first?.answer(false)
    const second = await nextSent(takeSent)
    assert.notEqual(second.to, first?.to)
    second.answer(true)
    assert.equal(await copied, true)
  })

  it('shares a message between records that are due during another one', async () => {
    const { copy, takeSent } = setUp([member('n1', 'z2')])
    const copied = [copy(), copy(), copy()]
    const [first] = takeSent()
    assert.deepEqual(first && idsOf(first), ['q1'])
    first?.answer(true)
    await copied[0]
    const [second] = takeSent()
    assert.deepEqual(second && idsOf(second), ['q2', 'q3'])
    second?.answer(true)
    assert.deepEqual(await Promise.all(copied), [true, true, true])
  })

  it('says so if no copy could be made, and tries the only member again', async () => {
    const { copy, takeSent } = setUp([member('n1', 'z2')])
    const copied = copy()
    for (let round = 0; round < 2; round++) {
      const sent = await nextSent(takeSent)
      sent.answer(false)
    }
    assert.equal(await copied, false)
    const again = copy()
    const sent = await nextSent(takeSent)
    sent.answer(true)
    assert.equal(await again, true)
  })

  it('makes no copy where there is no other member', async () => {
    const { copy } = setUp([])
    assert.equal(await copy(), false)
  })

  it('gives a new member every pending record', async () => {
    const alive = [member('n1', 'z2')]
    const { copy, sender, takeSent } = setUp(alive)
    const copied = copy()
    takeSent()[0]?.answer(true)
    await copied
    alive.splice(0, 1, member('n2', 'z3'))
    const refreshed = sender.refresh()
    const [refill] = takeSent()
    assert.equal(refill?.to, 'n2')
    assert.deepEqual(refill && idsOf(refill), ['q1'])
    refill?.answer(true)
    await refreshed
  })

  it('tells the members once what is stored', async () => {
    const { copy, sender, ledger, takeSent } = setUp([member('n1', 'z2')])
    const copied = copy()
    takeSent()[0]?.answer(true)
    await copied
    const filled = sender.refresh()
    takeSent()[0]?.answer(true)
    await filled
    await ledger.flush()
    const told = sender.refresh()
    const [news] = takeSent()
    assert.equal(news?.batch.storedBelow, 1)
    news?.answer(true)
    await told
    await sender.refresh()
    assert.deepEqual(takeSent(), [])
  })
})

describe('chooseCopyTargets', () => {
  it('prefers other zones of the same region, one member of each', () => {
    const alive = [
      member('n1', 'z1'),
      member('n2', 'z2'),
      member('n3', 'z2'),
      member('n4', 'z3'),
      member('n5', 'z4', 'r2'),
    ]
    const zones = chooseCopyTargets(self, alive, 2).map(({ zone }) => zone)
    assert.deepEqual(zones.toSorted(), ['z2', 'z3'])
  })

  it('takes the same zone rather than nobody', () => {
    const targets = chooseCopyTargets(self, [member('n1', 'z1')], 2)
    assert.deepEqual(
      targets.map(({ node }) => node),
      ['n1'],
    )
  })
})
