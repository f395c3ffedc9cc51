import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { VirtualClock } from '@wagtailway/core'
import { RecentSessions } from '../recentSessions.js'
import { RolloutTable, sessionPosition, type Rollout } from '../rolloutTable.js'

const ROLLOUT: Rollout = {
  service: 'summariser',
  target: 'v2',
  durationMs: 24_000,
  state: 'running',
  share: 0,
  revision: 5,
}

function setUp() {
  const clock = VirtualClock.create()
  const sessions = RecentSessions.create(clock.now, 5_000)
  return { clock, sessions, rollouts: RolloutTable.create(clock.now, sessions) }
}

/** Version that a session uses if servers of both versions are ready. */
function versionOf(rollouts: RolloutTable, session: string): string {
  const position = sessionPosition('v2', session)
  const [preferred] = rollouts.versionFilters('summariser', position, session)
  return preferred?.('v2') === true ? 'v2' : 'v1'
}

const SESSIONS = Array.from({ length: 1_000 }, (_, i) => `session-${i}`)

describe('RolloutTable', () => {
  it('moves about the given share of the sessions to the target and none of them back', () => {
    const { rollouts } = setUp()
    let previouslyMoved = new Set<string>()
    for (const [i, share] of [0, 0.09, 0.4, 1].entries()) {
      rollouts.put({ ...ROLLOUT, share, revision: 5 + i })
      const moved = new Set(SESSIONS.filter((name) => versionOf(rollouts, name) === 'v2'))
      assert.ok(Math.abs(moved.size / SESSIONS.length - share) < 0.03)
      assert.ok([...previouslyMoved].every((name) => moved.has(name)))
      previouslyMoved = moved
    }
  })

  it('keeps an active session on the old version during the canary', () => {
    const { rollouts, sessions, clock } = setUp()
    rollouts.put({ ...ROLLOUT, share: 0.09 })
    const session = SESSIONS.find((name) => sessionPosition('v2', name) < 0.09) ?? ''
    sessions.recordUse('summariser', session)
    assert.equal(versionOf(rollouts, session), 'v1')
    clock.advance(5_001)
    assert.equal(versionOf(rollouts, session), 'v2')
  })

  it('never allows a target that was rolled back or withdrawn, even as a fallback', () => {
    const { rollouts } = setUp()
    rollouts.put({ ...ROLLOUT, share: 1 })
    rollouts.withdraw('summariser', 'v2')
    const filters = rollouts.versionFilters('summariser', 0, undefined)
    assert.ok(filters.every((allows) => !allows('v2')))
    rollouts.put({ ...ROLLOUT, state: 'rolled_back', revision: 9 })
    assert.ok(rollouts.versionFilters('summariser', 0).every((allows) => !allows('v2')))
  })

  it('ignores an older revision', () => {
    const { rollouts } = setUp()
    rollouts.put({ ...ROLLOUT, state: 'rolled_back', revision: 9 })
    rollouts.put({ ...ROLLOUT, share: 1, revision: 8 })
    assert.equal(rollouts.get('summariser')?.state, 'rolled_back')
  })
})

describe('RolloutTable after a restore of the store', () => {
  const OLDER = { ...ROLLOUT, revision: 3 }

  for (const state of ['rolled_back', 'completed'] as const) {
    it(`keeps a rollout ${state} and has it stored again`, () => {
      const { rollouts } = setUp()
      rollouts.put({ ...ROLLOUT, state, share: 1, revision: 9 })
      rollouts.restore('summariser', OLDER)
      const [outdated] = rollouts.outdated()
      assert.equal(outdated?.state, state)
      assert.equal(outdated.revision, 3)
      rollouts.put({ ...ROLLOUT, state, share: 1, revision: 4 })
      assert.deepEqual(rollouts.outdated(), [])
    })
  }

  it('keeps the share of a running rollout, so that no session moves back', () => {
    const { rollouts } = setUp()
    rollouts.put({ ...ROLLOUT, share: 1 })
    rollouts.restore('summariser', { ...OLDER, share: 0.03 })
    assert.equal(rollouts.get('summariser')?.share, 1)
    assert.equal(rollouts.outdated().length, 1)
  })

  it('accepts a listed state that is further than the known one', () => {
    const { rollouts } = setUp()
    rollouts.put(ROLLOUT)
    rollouts.restore('summariser', { ...OLDER, state: 'completed', share: 1 })
    assert.equal(rollouts.get('summariser')?.state, 'completed')
    assert.deepEqual(rollouts.outdated(), [])
  })

  it('remembers the state of an order that is written again', () => {
    const { rollouts } = setUp()
    rollouts.put({ ...ROLLOUT, state: 'rolled_back' })
    rollouts.restore('summariser', undefined)
    assert.equal(rollouts.get('summariser')?.state, 'rolled_back')
    assert.deepEqual(rollouts.outdated(), [])
    rollouts.put(OLDER)
    assert.equal(rollouts.outdated()[0]?.state, 'rolled_back')
  })

  it('accepts another order that is listed once the known one is not written again', () => {
    const { rollouts, clock } = setUp()
    rollouts.put(ROLLOUT)
    rollouts.restore('summariser', { ...OLDER, target: 'v1' })
    rollouts.expireMissing()
    assert.equal(rollouts.get('summariser')?.target, 'v2')
    clock.advance(5_000)
    rollouts.expireMissing()
    assert.equal(rollouts.get('summariser')?.target, 'v1')
    assert.equal(rollouts.get('summariser')?.firstSeenAtMs, 0)
  })
})
