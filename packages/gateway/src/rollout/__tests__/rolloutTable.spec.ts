import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { VirtualClock } from '@wagtailway/core'
import { RecentSessions } from '../recentSessions.js'
import { RolloutTable, sessionPosition, type Rollout } from '../rolloutTable.js'

const ORDER: Rollout = {
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
  return { clock, sessions, book: RolloutTable.create(clock.now, sessions) }
}

/** Version that a session would use if servers of both were ready. */
function versionOf(book: RolloutTable, session: string): string {
  const place = sessionPosition('v2', session)
  const [preferred] = book.versionFilters('summariser', place, session)
  return preferred?.('v2') === true ? 'v2' : 'v1'
}

const SESSIONS = Array.from({ length: 1_000 }, (_, i) => `session-${i}`)

describe('RolloutBook', () => {
  it('sends about the share of the sessions to the target, and never one back', () => {
    const { book } = setUp()
    let earlier = new Set<string>()
    for (const [i, share] of [0, 0.09, 0.4, 1].entries()) {
      book.put({ ...ORDER, share, revision: 5 + i })
      const moved = new Set(SESSIONS.filter((name) => versionOf(book, name) === 'v2'))
      assert.ok(Math.abs(moved.size / SESSIONS.length - share) < 0.03)
      assert.ok([...earlier].every((name) => moved.has(name)))
      earlier = moved
    }
  })

  it('keeps a session on the old version during the trial while it goes on', () => {
    const { book, sessions, clock } = setUp()
    book.put({ ...ORDER, share: 0.09 })
    const session = SESSIONS.find((name) => sessionPosition('v2', name) < 0.09) ?? ''
    sessions.noteUse('summariser', session)
    assert.equal(versionOf(book, session), 'v1')
    clock.advance(5_001)
    assert.equal(versionOf(book, session), 'v2')
  })

  it('uses no target that was rolled back or withdrawn, also if nothing else is ready', () => {
    const { book } = setUp()
    book.put({ ...ORDER, share: 1 })
    book.withdraw('summariser', 'v2')
    const filters = book.versionFilters('summariser', 0, undefined)
    assert.ok(filters.every((allows) => !allows('v2')))
    book.put({ ...ORDER, state: 'rolled_back', revision: 9 })
    assert.ok(book.versionFilters('summariser', 0).every((allows) => !allows('v2')))
  })

  it('ignores an older revision', () => {
    const { book } = setUp()
    book.put({ ...ORDER, state: 'rolled_back', revision: 9 })
    book.put({ ...ORDER, share: 1, revision: 8 })
    assert.equal(book.get('summariser')?.state, 'rolled_back')
  })
})
