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
  readonly registry: RolloutRegistry
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
    const registry = RolloutRegistry.create({ evidence, clock: clock.now })
    registry.declare([ROLLOUT])
    const controller = RolloutController.create({
      store,
      registry,
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
      registry,
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
    node.registry.recordExposure(KEY, CLASS_KEY)
    node.registry.recordRating(KEY, CLASS_KEY, score)
  }
}

/**
 * Returns a lease holder that has started the rollout and another node that has read its
 * state.
 */
async function startRollout(fixture: Fixture): Promise<[Node, Node]> {
  const [holder, other] = [fixture.createNode('n1'), fixture.createNode('n2')]
  holder.fence = 1
  await holder.step()
  await other.step()
  return [holder, other]
}

void test('only the lease holder starts a rollout', async () => {
  const { createNode } = createFixture()
  const node = createNode('n1')
  await node.step()
  assert.equal(node.registry.state(KEY), undefined)
  assert.equal(node.registry.share(KEY), 0)
  node.fence = 1
  await node.step()
  assert.equal(node.registry.state(KEY)?.phase, 'running')
  assert.ok(node.registry.share(KEY) > 0)
})

void test('any node may withdraw a version, on the merged evidence of all nodes', async () => {
  const fixture = createFixture()
  const [holder, other] = await startRollout(fixture)
  rate(holder, 0.4, 7)
  rate(other, 0.4, 7)
  await other.step()
  assert.equal(other.registry.state(KEY)?.phase, 'running')
  other.evidence.merge(holder.evidence.cells())
  await other.step()
  assert.equal(other.registry.state(KEY)?.phase, 'withdrawn')
  await holder.step()
  assert.ok(holder.registry.isWithdrawn(KEY))
})

void test('stops traffic at once and writes the withdrawal when the platform is available again', async () => {
  const fixture = createFixture()
  const [, other] = await startRollout(fixture)
  fixture.faults.put = 'lost'
  rate(other, 0.3, 30)
  await other.step()
  assert.ok(other.registry.isWithdrawn(KEY))
  assert.equal(other.registry.state(KEY)?.phase, 'running')
  fixture.faults.put = 'none'
  await other.step()
  assert.equal(other.registry.state(KEY)?.phase, 'withdrawn')
})

void test('recognises its own withdrawal after its confirmation was lost', async () => {
  const fixture = createFixture()
  const [, other] = await startRollout(fixture)
  fixture.faults.put = 'unconfirmed'
  rate(other, 0.3, 30)
  await other.step()
  assert.equal(other.registry.state(KEY)?.phase, 'withdrawn')
  assert.equal(other.registry.state(KEY)?.by, 'n2')
})

void test('a lease holder with an outdated state cannot overwrite a withdrawal', async () => {
  const fixture = createFixture()
  const [holder, other] = await startRollout(fixture)
  rate(holder, 0.95, 100)
  rate(other, 0.3, 30)
  await other.step()
  // The holder acts on the state that it read before the withdrawal.
  await holder.controller.advance()
  await holder.step()
  assert.equal(holder.registry.state(KEY)?.phase, 'withdrawn')
})

void test('a new lease holder continues a rollout that another one started', async () => {
  const fixture = createFixture()
  const [holder, other] = await startRollout(fixture)
  rate(other, 0.95, 60)
  holder.fence = undefined
  other.fence = 2
  await other.step()
  assert.equal(other.registry.state(KEY)?.stage, 1)
  assert.equal(other.registry.state(KEY)?.fence, 2)
  // The former holder doesn't know yet that it has lost the lease.
  holder.fence = 1
  rate(holder, 0.95, 200)
  fixture.clock.advance(2 * ROLLOUT_EPOCH_MS)
  rate(holder, 0.95, 200)
  await holder.step()
  assert.equal(holder.registry.state(KEY)?.stage, 1)
})

void test('undoes a rollout that is no longer declared and restarts it when declared again', async () => {
  const fixture = createFixture()
  const [holder] = await startRollout(fixture)
  holder.registry.declare([])
  await holder.step()
  assert.equal(holder.registry.state(KEY)?.phase, 'undone')
  holder.registry.declare([ROLLOUT])
  await holder.step()
  assert.deepEqual(
    [holder.registry.state(KEY)?.phase, holder.registry.state(KEY)?.generation],
    ['running', 2],
  )
})

void test('the share is zero when the state has not been read recently', async () => {
  const fixture = createFixture()
  const [, other] = await startRollout(fixture)
  assert.ok(other.registry.share(KEY) > 0)
  fixture.clock.advance(10_001)
  assert.equal(other.registry.share(KEY), 0)
})
