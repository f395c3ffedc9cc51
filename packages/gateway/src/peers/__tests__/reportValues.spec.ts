/** Reports with values that no build of ours sends, and how they are read. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { judgeVersion } from '../../rollout/judgeVersion.js'
import {
  NO_CRASH_REPORT,
  decodeReport,
  encodeReport,
  type PeerReport,
} from '../peerReport.js'
import { PeerTable } from '../peerTable.js'
import { MAX_AMOUNT } from '../wireValues.js'

/** Positions of the fields of a report on the wire. */
const SEQUENCE = 1
const LOADS = 3
const ROLLOUTS = 5
const SESSION_HASHES = 6
const FEED_MARKS = 8
const UNREACHABLE = 9
const SPEEDS = 10
const LINK = 11
const CRASHES = 12
const EVIDENCE = 13
const LIMITS = 14
const CUT_OFF = 15
const STATEMENTS = 16

const REPORT: PeerReport = {
  name: 'n2',
  zone: 'z1',
  linkMbps: 10,
  sequence: 5,
  isDraining: false,
  loads: new Map([['s1', { running: 2, waitingMs: [40, 300] }]]),
  evidence: [],
  rollouts: [],
  sessionHashes: [],
  unreachableServers: [],
  prefillSpeeds: new Map(),
  feedMarks: [],
  crashReport: NO_CRASH_REPORT,
  limits: [],
  cutOffServices: [],
  statements: [],
}

/** The report with one other field. */
function withField(position: number, json: string): Buffer {
  const fields = JSON.parse(encodeReport(REPORT).toString()) as unknown[]
  const texts = fields.map((field, i) => (i === position ? json : JSON.stringify(field)))
  return Buffer.from(`[${texts.join(',')}]`)
}

describe('a report', () => {
  // Guards against: a text or null in a table, at which a timer throws when it encodes or sorts.
  it('with a value of another type is not read', () => {
    const fields: [number, string][] = [
      [0, '7'],
      [0, 'null'],
      [SEQUENCE, '"5"'],
      [SEQUENCE, '1.5'],
      [SEQUENCE, '1e999'],
      [LOADS, '{}'],
      [LOADS, '[["s1",2,"40"]]'],
      [LOADS, '[["s1",null,40]]'],
      [LOADS, '[["s1",2,40,7]]'],
      [LOADS, '[["s1",2,40,["7"]]]'],
      [LOADS, '[[1,2,40]]'],
      [ROLLOUTS, '[["a","v2","4"]]'],
      [SESSION_HASHES, '["17"]'],
      [7, 'null'],
      [FEED_MARKS, '[["config",4,"9",1]]'],
      [FEED_MARKS, '[["config",4,9,1,"1"]]'],
      [FEED_MARKS, '[["config",4,9,1,1,"0"]]'],
      [UNREACHABLE, '[null]'],
      [SPEEDS, '[["large",["0.05"]]]'],
      [LINK, '"10"'],
      [CRASHES, '[[],[]]'],
      [CRASHES, '[[],[],[["t","1",0,null]]]'],
      [CRASHES, '[[["s1 0",1,[["t",null]]]],[],[]]'],
      [EVIDENCE, '[["a","v2",[1],[],[]]]'],
      [EVIDENCE, '[["a","v2",["g"],[],[0,-1,-1,"2",1]]]'],
      [EVIDENCE, '[["a","v2",["g"],[],[0,-1,-1]]]'],
      [LIMITS, '[["s1 0","1.5",1]]'],
      [CUT_OFF, '"lookup"'],
      [STATEMENTS, '[["s1 0","a",0,"1",1]]'],
    ]
    for (const [position, json] of fields)
      assert.equal(decodeReport(withField(position, json)), undefined, json)
  })

  // Guards against: an instance of an earlier build that counts as down for what its store said.
  it('loses a mark with a position that is no whole number, and nothing else', () => {
    const other = '["servers",4,9,1,2,0]'
    const odd = ['4,9.5,1', '-4,9,1', '4,9,1,-1', '4,9,1,0.5', '4,1e999,1', '4,9,1,1e10']
    for (const numbers of odd) {
      const report = decodeReport(
        withField(FEED_MARKS, `[["config",${numbers}],${other}]`),
      )
      assert.deepEqual(
        report?.feedMarks.map(({ kind }) => kind),
        ['servers'],
        numbers,
      )
    }
  })

  it('that is other JSON is not read', () => {
    for (const text of ['null', '7', '{}', '[]', '"x"', '[null]', '["n2"]'])
      assert.equal(decodeReport(Buffer.from(text)), undefined, text)
  })

  it('with numbers out of bounds is read with those at the bounds', () => {
    const report = decodeReport(withField(LOADS, '[["s1",-2,1,[1e999,-1,null,2.5]]]'))
    assert.deepEqual(report?.loads.get('s1'), {
      running: 0,
      waitingMs: [MAX_AMOUNT, 0, 0, 2],
    })
    assert.equal(decodeReport(withField(LINK, '-3'))?.linkMbps, 0)
  })

  // Guards against: seconds in a loop over the classes up to one that no duration has.
  it('with a class of durations that there is none of is judged at once', () => {
    const rows = '[0,-1,4294967290,0,50,0,0,4294967290,0,50]'
    const report = decodeReport(withField(EVIDENCE, `[["a","v2",["g"],["s1"],${rows}]]`))
    const [rollout] = report?.evidence ?? []
    assert.ok(rollout)
    assert.ok(rollout.observations.every(({ outcome }) => Number(outcome) < 100))
    assert.equal(judgeVersion(rollout.observations, 1).counts.old.measured, 50)
  })

  // Guards against: null on the wire for a level between those at which requests wait.
  it('has no empty level among the waits', () => {
    const waitingMs = [60]
    waitingMs[2] = 5
    const loads = new Map([['s1', { running: 1, waitingMs }]])
    const wire = encodeReport({ ...REPORT, loads }).toString()
    assert.match(wire, /\[60,0,5\]/)
  })

  // Guards against: a socket that throws in the timer of the reports, which then end.
  it('of a sender without a port is not answered, nor is any other sent there', () => {
    const peers = PeerTable.create({ name: 'n1', zone: 'z1', linkMbps: 10 }, () => 50_000)
    assert.equal(peers.applyReport(REPORT, { host: '10.0.0.2', port: 0 }), false)
    assert.deepEqual(peers.addresses(), [])
    assert.equal(peers.applyReport(REPORT, { host: '10.0.0.2', port: 7_340 }), true)
  })
})
