import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { signSession, verifySession } from '../sessionToken.js'

const claims = {
  workspace: 'panel',
  session: 's1',
  className: 'dossier',
  versionKey: 'summariser@large',
  expiresAtMs: 1_000,
}

describe('session tokens', () => {
  it('stay valid after a rotation of the signing key', () => {
    const token = signSession(claims, 'old-key-1')
    assert.deepEqual(verifySession(token, ['new-key-1', 'old-key-1']), claims)
  })

  it('are refused when forged or malformed', () => {
    const token = signSession(claims, 'foreign-key')
    for (const bad of [token, '', 'a.b', `${token}x`, 'x'.repeat(5_000)]) {
      assert.equal(verifySession(bad, ['own-key-12']), undefined)
    }
  })
})
