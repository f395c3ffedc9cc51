import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { RecentSessions } from '../recentSessions.js'

const SESSION_MS = 5_000

// Guards against: a process remembers each session that it has ever seen until its memory is
// used up, as nothing asks for sessions while no rollout runs.
describe('recent sessions', () => {
  it('are forgotten while nobody asks for them', () => {
    let nowMs = 0
    const sessions = RecentSessions.create(() => nowMs, SESSION_MS)
    for (let i = 0; i < 100_000; i += 1) {
      nowMs = i
      sessions.recordUse('models', `session-${i}`)
      sessions.recordPeerUse(i)
    }
    assert.ok(sessions.size <= 2 * SESSION_MS, `${sessions.size} sessions`)
    assert.equal(sessions.wasOnOldVersion('models', 'session-99999'), true)
    assert.equal(sessions.wasOnOldVersion('models', 'session-90000'), false)
  })
})
