import assert from 'node:assert/strict'
import { test } from 'node:test'
import { VirtualClock } from '../../clock.js'
import { MemoryStore, type CallFault } from '../../platform/memoryStore.js'
import { EvidenceTable } from '../../quality/evidenceTable.js'
import { RolloutRegistry } from '../rolloutRegistry.js'
import { RolloutController } from '../rolloutController.js'
import { ROLLOUT_EPOCH_MS } from '../rolloutEvidence.js'

const KEY = 'm@new'
const CLASS_KEY = 'panel/dossier'
const ROLLOUT = { owner: 'o', model: 'm', from: 'old', to: 'new', exposureBudget: 1_000 }

interface Node {
  readonly evidence: EvidenceTable
  readonly board: RolloutRegistry
  readonly controller: RolloutController
  fence: number | undefined
  readonly step: () => Promise<void>
}

interface Fixture {
  readonly clock: VirtualClock
  readonly faults: { put: CallFault }
  readonly createNode: (name: string) => Node
}

function createFixture(): Fixture {
  const clock = VirtualClock.create()
  const faults: { put: CallFault } = { put: 'none' }
  const store = MemoryStore.create((op) => (op === 'put' ? faults.put : 'none'))
  return { clock, faults, createNode }

  function createNode(name: string): Node {
    const evidence = EvidenceTable.create({
      source: name,
      clock: clock.now,
      epochMs: ROLLOUT_EPOCH_MS,
    })
    const board = RolloutRegistry.create({ evidence, clock: clock.now })
    board.declare([ROLLOUT])
    const controller = RolloutController.create({
      store,
      registry: board,
      self: name,
      clock: clock.now,
      epoch: () => evidence.epoch,
      fence: () => node.fence,
      floors: () => ({ [CLASS_KEY]: 0.8 }),
      onChange: () => undefined,
      onCondemned: () => undefined,
    })
    const node: Node = {
      evidence,
      board,
      controller,
      fence: undefined,
      step: async () => {
        await controller.poll()
        await controller.advance()
      },
    }
    return node
  }
}

function rate(node: Node, score: number, count: number): void {
  for (let i = 0; i < count; i++) {
    node.board.recordExposure(KEY, CLASS_KEY)
    node.board.recordRating(KEY, CLASS_KEY, score)
  }
}

/** A holder that has begun the roll-out, and another node that has seen it. */
async function begin(fixture: Fixture): Promise<[Node, Node]> {
  const [holder, other] = [fixture.createNode('n1'), fixture.createNode('n2')]
  holder.fence = 1
  await holder.step()
  await other.step()
  return [holder, other]
}

void test('only the holder of the lease begins a roll-out', async () => {
  const { createNode } = createFixture()
  const node = createNode('n1')
  await node.step()
  assert.equal(node.board.state(KEY), undefined)
  assert.equal(node.board.share(KEY), 0)
  node.fence = 1
  await node.step()
  assert.equal(node.board.state(KEY)?.phase, 'running')
  assert.ok(node.board.share(KEY) > 0)
})

void test('any node withdraws, and the evidence of several nodes counts together', async () => {
  const fixture = createFixture()
  const [holder, other] = await begin(fixture)
  rate(holder, 0.4, 7)
  rate(other, 0.4, 7)
  await other.step()
  assert.equal(other.board.state(KEY)?.phase, 'running')
  other.evidence.merge(holder.evidence.cells())
  await other.step()
  assert.equal(other.board.state(KEY)?.phase, 'withdrawn')
  await holder.step()
  assert.ok(holder.board.isWithdrawn(KEY))
})

void test('stops at once and writes later when the platform is away', async () => {
  const fixture = createFixture()
  const [, other] = await begin(fixture)
  fixture.faults.put = 'lost'
  rate(other, 0.3, 30)
  await other.step()
  assert.ok(other.board.isWithdrawn(KEY))
  assert.equal(other.board.state(KEY)?.phase, 'running')
  fixture.faults.put = 'none'
  await other.step()
  assert.equal(other.board.state(KEY)?.phase, 'withdrawn')
})

void test('recognises its own withdrawal when the confirmation is lost', async () => {
  const fixture = createFixture()
  const [, other] = await begin(fixture)
  fixture.faults.put = 'unconfirmed'
  rate(other, 0.3, 30)
  await other.step()
  assert.equal(other.board.state(KEY)?.phase, 'withdrawn')
  assert.equal(other.board.state(KEY)?.by, 'n2')
})

void test('a holder that wakes late cannot undo a withdrawal', async () => {
  const fixture = createFixture()
  const [holder, other] = await begin(fixture)
  rate(holder, 0.95, 100)
  rate(other, 0.3, 30)
  await other.step()
  // The holder still believes in the state that it read before.
  await holder.controller.advance()
  await holder.step()
  assert.equal(holder.board.state(KEY)?.phase, 'withdrawn')
})

void test('a new holder goes on with a roll-out that another left half-way', async () => {
  const fixture = createFixture()
  const [holder, other] = await begin(fixture)
  rate(other, 0.95, 60)
  holder.fence = undefined
  other.fence = 2
  await other.step()
  assert.equal(other.board.state(KEY)?.stage, 1)
  assert.equal(other.board.state(KEY)?.fence, 2)
  // The former holder thinks that it still holds the lease.
  holder.fence = 1
  rate(holder, 0.95, 200)
  fixture.clock.advance(2 * ROLLOUT_EPOCH_MS)
  rate(holder, 0.95, 200)
  await holder.step()
  assert.equal(holder.board.state(KEY)?.stage, 1)
})

void test('undoes a roll-out that is no longer declared, and may begin it again', async () => {
  const fixture = createFixture()
  const [holder] = await begin(fixture)
  holder.board.declare([])
  await holder.step()
  assert.equal(holder.board.state(KEY)?.phase, 'undone')
  holder.board.declare([ROLLOUT])
  await holder.step()
  assert.deepEqual(
    [holder.board.state(KEY)?.phase, holder.board.state(KEY)?.generation],
    ['running', 2],
  )
})

void test('gives no share when the state was not looked at lately', async () => {
  const fixture = createFixture()
  const [, other] = await begin(fixture)
  assert.ok(other.board.share(KEY) > 0)
  fixture.clock.advance(10_001)
  assert.equal(other.board.share(KEY), 0)
})
