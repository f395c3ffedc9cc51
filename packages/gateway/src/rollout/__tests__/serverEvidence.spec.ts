import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ServerEvidence } from '../serverEvidence.js'

/** Pauses of the old version in milliseconds: one in ten streams meets a long prompt. */
const OLD_MS = [17, 18, 17, 66, 17, 19, 18, 17, 20, 17, 18, 63, 17, 18, 17, 17]

describe('ServerEvidence', () => {
  it('calls what is several times slower than usual slow, for both versions', () => {
    const evidence = ServerEvidence.create()
    const slowOld = OLD_MS.filter((ms) => evidence.isSlow('pause', ms, true))
    assert.deepEqual(slowOld, [66, 63])
    assert.equal(evidence.isSlow('pause', 76, false), true)
    assert.equal(evidence.isSlow('pause', 23, false), false)
  })

  it('keeps the usual speed while the new version is slow', () => {
    const evidence = ServerEvidence.create()
    for (const ms of OLD_MS) evidence.isSlow('pause', ms, true)
    for (let i = 0; i < 50; i += 1) evidence.isSlow('pause', 80, false)
    assert.equal(evidence.isSlow('pause', 60, false), true)
  })

  it('calls nothing slow before the old version was measured', () => {
    assert.equal(ServerEvidence.create().isSlow('pause', 500, false), false)
  })

  it('adds what other instances report, until they are gone', () => {
    const evidence = ServerEvidence.create()
    evidence.note('s1', 'slow')
    evidence.applyReport('peer', new Map([['s1', { good: 2, slow: 1, bad: 1 }]]))
    assert.deepEqual(evidence.total('s1'), { good: 2, slow: 2, bad: 1 })
    evidence.retainPeers(new Set())
    assert.deepEqual(evidence.total('s1'), { good: 0, slow: 1, bad: 0 })
  })
})
