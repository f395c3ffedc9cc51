import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { VirtualClock } from '@wagtailway/core'
import { LoadTable } from '../../placement/serverLoad.js'
import { ServerTable } from '../../servers/serverTable.js'
import { RecentSessions } from '../recentSessions.js'
import { RolloutController } from '../rolloutController.js'
import { RolloutTable, type Rollout } from '../rolloutTable.js'
import { VersionEvidence } from '../versionEvidence.js'

const ORDER: Rollout = {
  service: 'summariser',
  target: 'v2',
  durationMs: 15_000,
  state: 'running',
  share: 0.1,
  revision: 1,
}

function setUp() {
  const clock = VirtualClock.create(0)
  const rollouts = RolloutTable.create(clock.now, RecentSessions.create(clock.now, 5_000))
  const written: Rollout[] = []
  const lines: string[] = []
  const controller = RolloutController.create({
    clock: clock.now,
    log: (event) => lines.push(event),
    rollouts,
    evidence: VersionEvidence.create(clock.now),
    servers: ServerTable.create(clock.now, () => undefined),
    load: LoadTable.create(clock.now),
    exposure: { share: 0.15, slack: 30 },
    instanceCount: () => 1,
    rank: () => 0,
    peerElapsedMs: () => 0,
    write: (rollout) => {
      written.push(rollout)
      return Promise.resolve()
    },
  })
  return { controller, rollouts, written, lines }
}

describe('RolloutController', () => {
  it('stops using a version that another instance has withdrawn, and stores that', async () => {
    const { controller, rollouts, written, lines } = setUp()
    rollouts.put(ORDER)
    controller.applyPeerWithdrawal('summariser', 'v2', 'n2')
    controller.applyPeerWithdrawal('summariser', 'v2', 'n3')
    assert.equal(rollouts.versionFilters('summariser', 0)[0]?.('v2'), false)
    assert.deepEqual(lines, ['version_withdrawn'])
    await controller.advance()
    assert.equal(written.at(-1)?.state, 'rolled_back')
  })

  it('ignores the withdrawal of another version, or of one that was completed', () => {
    const { controller, rollouts } = setUp()
    rollouts.put(ORDER)
    controller.applyPeerWithdrawal('summariser', 'v1', 'n2')
    assert.equal(rollouts.isWithdrawn('summariser', 'v2'), false)
    rollouts.put({ ...ORDER, state: 'completed', share: 1, revision: 2 })
    controller.applyPeerWithdrawal('summariser', 'v2', 'n2')
    assert.equal(rollouts.isWithdrawn('summariser', 'v2'), false)
  })
})
