import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { BackendServer } from '../../model/backendServer.js'
import { requestsPerSecond, sumCounts } from '../observation.js'
import { VersionEvidence } from '../versionEvidence.js'

function backendServer(id: string, version: string): BackendServer {
  return {
    id,
    startedAtMs: 1,
    service: 'summariser',
    host: '127.0.0.1',
    port: 1,
    zone: 'z1',
    version,
    slots: 6,
    isDraining: false,
  }
}

const OLD = backendServer('s1', 'v1')
const NEW = backendServer('s2', 'v2')

describe('VersionEvidence', () => {
  it('adds equal observations, and tells the servers of the new version apart', () => {
    const evidence = VersionEvidence.create(() => 0)
    for (let i = 0; i < 3; i += 1) evidence.recordResult(OLD, 'lookup', 'ok')
    evidence.recordResult(NEW, 'lookup', 'failed')
    evidence.recordSpeed(NEW, 'lookup', 16)
    assert.deepEqual(evidence.observations('summariser', 'v2'), [
      { group: 'lookup', server: undefined, outcome: 'ok', ageMs: 0, count: 3 },
      { group: 'lookup', server: 's2', outcome: 'failed', ageMs: 0, count: 1 },
      { group: 'lookup', server: 's2', outcome: 8, ageMs: 0, count: 1 },
    ])
    assert.deepEqual(evidence.observations('other', 'v2'), [])
  })

  it('ages what other instances reported, and forgets what is too old', () => {
    let nowMs = 0
    const evidence = VersionEvidence.create(() => nowMs)
    const observation = {
      group: 'lookup',
      server: 's2',
      outcome: 'ok',
      ageMs: 2_000,
      count: 2,
    } as const
    evidence.applyReport('n2', [
      { service: 'summariser', target: 'v2', observations: [observation] },
    ])
    nowMs = 500
    assert.equal(evidence.observations('summariser', 'v2')[0]?.ageMs, 2_000)
    nowMs = 4_500
    assert.equal(evidence.observations('summariser', 'v2')[0]?.ageMs, 6_000)
    assert.deepEqual(evidence.observations('summariser', 'v3'), [])
    nowMs = 700_000
    assert.deepEqual(evidence.observations('summariser', 'v2'), [])
  })

  it('replaces the report of an instance, and forgets an instance that has ended', () => {
    const evidence = VersionEvidence.create(() => 0)
    const report = (count: number) => [
      {
        service: 'summariser',
        target: 'v2',
        observations: [
          { group: 'lookup', server: 's2', outcome: 'ok', ageMs: 0, count } as const,
        ],
      },
    ]
    evidence.applyReport('n2', report(2))
    evidence.applyReport('n2', report(5))
    assert.equal(sumCounts(evidence.observations('summariser', 'v2')), 5)
    evidence.removeOutdated(new Set())
    assert.deepEqual(evidence.observations('summariser', 'v2'), [])
  })

  it('keeps the responses of servers that have ended', () => {
    let nowMs = 0
    const evidence = VersionEvidence.create(() => nowMs)
    evidence.recordResult(NEW, 'lookup', 'failed')
    nowMs = 30_000
    evidence.removeOutdated(new Set())
    assert.equal(sumCounts(evidence.observations('summariser', 'v2')), 1)
    nowMs = 600_001
    evidence.removeOutdated(new Set())
    assert.deepEqual(evidence.observations('summariser', 'v2'), [])
  })

  it('reports the newest observations if there are too many', () => {
    let nowMs = 0
    const evidence = VersionEvidence.create(() => nowMs)
    for (let i = 0; i < 200; i += 1) evidence.recordResult(OLD, `route ${i}`, 'ok')
    nowMs = 30_000
    evidence.recordResult(NEW, 'lookup', 'ok')
    const reported = evidence.reportedObservations('summariser', 'v2')
    assert.equal(reported.length, 25)
    assert.equal(reported.at(-1)?.server, 's2')
  })
})

describe('requestsPerSecond', () => {
  it('takes the highest of the recent periods, and tells an unknown rate', () => {
    const row = { group: 'lookup', server: undefined, outcome: 'ok' } as const
    assert.equal(requestsPerSecond([], 60_000), undefined)
    assert.equal(requestsPerSecond([{ ...row, ageMs: 0, count: 60 }], 60_000), 10)
    assert.equal(requestsPerSecond([{ ...row, ageMs: 0, count: 1 }], 250), undefined)
    assert.equal(requestsPerSecond([{ ...row, ageMs: 6_000, count: 60 }], 60_000), 3)
  })
})
