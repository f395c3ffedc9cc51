import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { VirtualClock } from '@wagtailway/core'
import { PeerTable } from '../peerTable.js'
import { decodeReport, encodeReport, type PeerReport } from '../peerReport.js'

function report(name: string, changes: Partial<PeerReport> = {}): PeerReport {
  return {
    name,
    zone: 'z1',
    sequence: 1,
    isLeaving: false,
    loads: new Map([['s1', { running: 2, waitingMs: 340 }]]),
    evidence: new Map([['s1', { good: 3.25, slow: 0, bad: 0.5 }]]),
    rollouts: [{ service: 'summariser', target: 'v2', elapsedMs: 1_200 }],
    sessions: [17, 4_294_967_295],
    unreachable: ['s9'],
    speeds: new Map([['large', [0.05, undefined, 0.0712]]]),
    feeds: [{ kind: 'config', changedAt: 4, asOf: 9, ageMs: 120 }],
    ...changes,
  }
}

const FROM = { host: '10.0.0.2', port: 7_340 }

describe('peer reports', () => {
  it('arrive as they were sent', () => {
    assert.deepEqual(decodeReport(encodeReport(report('n2'))), report('n2'))
  })

  it('are told from anything else', () => {
    for (const text of ['', '{}', '[1]', 'null', '["n2",1,0,7,7,7,7,7,7,7]']) {
      assert.equal(decodeReport(Buffer.from(text)), undefined, text)
    }
  })

  it('of twenty busy servers fit one datagram', () => {
    const loads = Array.from({ length: 20 }, (_, i) => {
      return [`i-0123456789${i}`, { running: 12, waitingMs: 1_234 }] as const
    })
    assert.ok(encodeReport(report('n2', { loads: new Map(loads) })).length < 1_400)
  })
})

describe('PeerBook', () => {
  function setUp() {
    const clock = VirtualClock.create(100_000)
    return { clock, book: PeerTable.create({ name: 'n1', zone: 'z1' }, clock.now) }
  }

  it('counts those that it hears and that stay', () => {
    const { book, clock } = setUp()
    book.heard(report('n2'), FROM)
    book.heard(report('n3', { isLeaving: true }), FROM)
    assert.equal(book.aliveCount, 2)
    clock.advance(5_000)
    assert.equal(book.aliveCount, 1)
    assert.equal(book.peakAliveCount, 8)
  })

  it('ignores reports that were overtaken', () => {
    const { book } = setUp()
    assert.equal(book.heard(report('n2', { sequence: 5 }), FROM), true)
    assert.equal(book.heard(report('n2', { sequence: 4 }), FROM), false)
  })

  it('gives each living instance of a zone another rank', () => {
    const { clock } = setUp()
    const names = ['n1', 'n2', 'n3', 'n4']
    const ranks = names.map((self) => {
      const book = PeerTable.create({ name: self, zone: 'z1' }, clock.now)
      for (const name of names) book.heard(report(name), FROM)
      book.heard(report('far', { zone: 'z2' }), FROM)
      return book.zoneRank()
    })
    assert.deepEqual(ranks.toSorted(), [0, 1, 2, 3])
  })

  it('reports to an address that it was told, until that stays silent', () => {
    const { book, clock } = setUp()
    book.know({ name: 'n4', ...FROM })
    assert.equal(book.addresses('zone').length, 1)
    assert.equal(book.aliveCount, 1)
    clock.advance(13_000)
    assert.equal(book.addresses().length, 0)
  })
})
