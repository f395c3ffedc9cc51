import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { VirtualClock } from '../../clock.js'
import type { MemberIdentity } from '../../member/member.js'
import { MemoryStore } from '../../platform/memoryStore.js'
import type { CopyBatch } from '../copyStore.js'
import { CopySender } from '../copySender.js'
import { selectCopyTargets } from '../copyTargets.js'
import { Ledger } from '../ledger.js'

function member(node: string, zone: string, region = 'r1'): MemberIdentity {
  return { node, zone, region, incarnation: `${node}-1`, address: node }
}

const BATCH_DELAY_MS = 7

const self = member('n0', 'z1')

interface Sent {
  readonly to: string
  readonly batch: CopyBatch
  readonly respond: (accepted: boolean) => void
}

function setUp(alive: MemberIdentity[]) {
  const clock = VirtualClock.create()
  const ledger = Ledger.create({ store: MemoryStore.create(), incarnation: 'n0-1' })
  const sent: Sent[] = []
  const delayedSends: (() => void)[] = []
  const sender = CopySender.create({
    self,
    ledger,
    alive: () => alive,
    send: ({ node }, batch) =>
      new Promise((respond) => {
        sent.push({ to: node, batch, respond })
      }),
    clock: clock.now,
    startTimer: (ms, fn) => {
      if (ms === BATCH_DELAY_MS) delayedSends.push(fn)
      return () => undefined
    },
    batchDelayMs: BATCH_DELAY_MS,
  })
  let count = 0
  const copy = (): Promise<boolean> => {
    count += 1
    const record = { requestId: `q${count}`, workspace: 'w', classKey: 'w/c' }
    return sender.copy(ledger.add({ ...record, calls: [], costMicros: 1, atMs: 0 }))
  }
  const takeSent = (): Sent[] => sent.splice(0)
  const endBatchDelay = (): void => {
    for (const fn of delayedSends.splice(0)) fn()
  }
  return { ledger, sender, copy, takeSent, endBatchDelay }
}

async function nextSent(takeSent: () => Sent[]): Promise<Sent> {
  for (;;) {
    const [sent] = takeSent()
    if (sent) return sent
    await Promise.resolve()
  }
}

function requestIdsOf({ batch }: Sent): string[] {
  return batch.entries.map(({ record }) => record.requestId)
}

describe('CopySender', () => {
  it('resolves on the first confirmation and sends the second copy later', async () => {
    const { copy, takeSent, endBatchDelay } = setUp([
      member('n1', 'z2'),
      member('n2', 'z3'),
    ])
    const copied = [copy(), copy()]
    const [first] = takeSent()
    first?.respond(true)
    assert.equal(await copied[0], true)
    const [next] = takeSent()
    assert.equal(next?.to, first?.to)
    endBatchDelay()
    const [secondCopy] = takeSent()
    assert.notEqual(secondCopy?.to, first?.to)
    assert.deepEqual(secondCopy && requestIdsOf(secondCopy), ['q1', 'q2'])
  })

  it('sends to the other member at once if the first fails', async () => {
    const { copy, takeSent } = setUp([member('n1', 'z2'), member('n2', 'z3')])
    const copied = copy()
    const [first] = takeSent()
    first?.respond(false)
    const second = await nextSent(takeSent)
    assert.notEqual(second.to, first?.to)
    second.respond(true)
    assert.equal(await copied, true)
  })

  it('batches records that are added while a message is in flight', async () => {
    const { copy, takeSent } = setUp([member('n1', 'z2')])
    const copied = [copy(), copy(), copy()]
    const [first] = takeSent()
    assert.deepEqual(first && requestIdsOf(first), ['q1'])
    first?.respond(true)
    await copied[0]
    const [second] = takeSent()
    assert.deepEqual(second && requestIdsOf(second), ['q2', 'q3'])
    second?.respond(true)
    assert.deepEqual(await Promise.all(copied), [true, true, true])
  })

  it('resolves to false if no copy could be made, and tries the only member again', async () => {
    const { copy, takeSent } = setUp([member('n1', 'z2')])
    const copied = copy()
    for (let round = 0; round < 2; round++) {
      const sent = await nextSent(takeSent)
      sent.respond(false)
    }
    assert.equal(await copied, false)
    const again = copy()
    const sent = await nextSent(takeSent)
    sent.respond(true)
    assert.equal(await again, true)
  })

  it('makes no copy where there is no other member', async () => {
    const { copy } = setUp([])
    assert.equal(await copy(), false)
  })

  it('sends every pending record to a new member', async () => {
    const alive = [member('n1', 'z2')]
    const { copy, sender, takeSent } = setUp(alive)
    const copied = copy()
    takeSent()[0]?.respond(true)
    await copied
    alive.splice(0, 1, member('n2', 'z3'))
    const refreshed = sender.refresh()
    const [refill] = takeSent()
    assert.equal(refill?.to, 'n2')
    assert.deepEqual(refill && requestIdsOf(refill), ['q1'])
    refill?.respond(true)
    await refreshed
  })

  it('reports once to the members what is stored', async () => {
    const { copy, sender, ledger, takeSent } = setUp([member('n1', 'z2')])
    const copied = copy()
    takeSent()[0]?.respond(true)
    await copied
    const filled = sender.refresh()
    takeSent()[0]?.respond(true)
    await filled
    await ledger.flush()
    const reportSent = sender.refresh()
    const [report] = takeSent()
    assert.equal(report?.batch.storedBelow, 1)
    report?.respond(true)
    await reportSent
    await sender.refresh()
    assert.deepEqual(takeSent(), [])
  })
})

describe('selectCopyTargets', () => {
  it('prefers other zones of the same region, one member of each', () => {
    const alive = [
      member('n1', 'z1'),
      member('n2', 'z2'),
      member('n3', 'z2'),
      member('n4', 'z3'),
      member('n5', 'z4', 'r2'),
    ]
    const zones = selectCopyTargets(self, alive, 2).map(({ zone }) => zone)
    assert.deepEqual(zones.toSorted(), ['z2', 'z3'])
  })

  it('uses the same zone if there is no other', () => {
    const targets = selectCopyTargets(self, [member('n1', 'z1')], 2)
    assert.deepEqual(
      targets.map(({ node }) => node),
      ['n1'],
    )
  })
})
