import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { VirtualClock } from '../../clock.js'
import { PROBE_ATTEMPTS, SUSPECT_MS } from '../constants.js'
import { MemberStatus, type Member } from '../member.js'
import { MemberTable } from '../memberTable.js'

function member(node: string, run = 1, zone = 'z1'): Member {
  return {
    node,
    incarnation: `${node}-${run}`,
    zone,
    region: 'r1',
    address: `10.0.0.1:${run}`,
    leaving: false,
  }
}

function table(
  node = 'n1',
  clock = VirtualClock.create(),
): {
  members: MemberTable
  clock: VirtualClock
} {
  return { members: MemberTable.create({ self: member(node), clock: clock.now }), clock }
}

/** Lets time pass as a running process sees it. */
function run(members: MemberTable, clock: VirtualClock, ms: number): void {
  for (let passed = 0; passed < ms; passed += 500) {
    clock.advance(500)
    members.tick()
  }
}

function fail(members: MemberTable, node: string, times = PROBE_ATTEMPTS): void {
  for (let i = 0; i < times; i++) members.unanswered(node)
}

describe('MemberTable', () => {
  it('takes no work to a member that stopped answering, and removes it much later', () => {
    const { members, clock } = table()
    for (const name of ['n2', 'n3', 'n4', 'n5', 'n6']) members.heard(member(name))
    for (const name of ['n3', 'n4', 'n5', 'n6']) members.answered(name)
    fail(members, 'n2')
    assert.equal(members.statusOf('n2'), MemberStatus.suspect)
    assert.equal(
      members.alive().some(({ node }) => node === 'n2'),
      false,
    )
    run(members, clock, SUSPECT_MS - 500)
    assert.equal(members.statusOf('n2'), MemberStatus.suspect)
    run(members, clock, 500)
    assert.equal(members.statusOf('n2'), MemberStatus.removed)
    assert.equal(members.removals, 1)
  })

  it('lets a suspected member refute', () => {
    const a = table('n1').members
    const b = table('n2').members
    a.heard(member('n2'))
    for (const name of ['n3', 'n4', 'n5']) {
      a.heard(member(name))
      a.answered(name)
    }
    for (let i = 0; i < 3; i++) a.answered('n3')
    fail(a, 'n2')
    assert.equal(a.statusOf('n2'), MemberStatus.suspect)
    b.receive(a.exchange([], 'n2'))
    a.receive(b.exchange())
    assert.equal(a.statusOf('n2'), MemberStatus.alive)
  })

  it('refutes again when the refutation was lost', () => {
    const { members } = table('n2')
    const doubt = { ...member('n2'), status: MemberStatus.suspect, version: 1 }
    const told = { updates: [doubt], memberDigest: 0, bucketHashes: [] }
    members.receive(told)
    for (let i = 0; i < 10; i++) members.exchange()
    members.receive(told)
    assert.deepEqual(members.exchange().updates, [members.self])
  })

  it('ejects nobody when it is cut off itself', () => {
    const { members, clock } = table()
    const names = Array.from({ length: 20 }, (_, i) => `n${i + 2}`)
    for (const name of names) members.heard(member(name))
    for (const name of names) fail(members, name)
    assert.equal(members.health.isCutOff, true)
    run(members, clock, 2 * SUSPECT_MS)
    const standings = names.map((name) => members.statusOf(name))
    assert.equal(standings.includes(MemberStatus.removed), false)
    const suspected = standings.filter((status) => status === MemberStatus.suspect)
    assert.ok(suspected.length <= 1)
  })

  it('ejects nobody after it was paused', () => {
    const { members, clock } = table()
    for (const name of ['n2', 'n3', 'n4', 'n5']) members.heard(member(name))
    members.receive({
      updates: [{ ...member('n2'), status: MemberStatus.suspect, version: 1 }],
      memberDigest: 0,
      bucketHashes: [],
    })
    clock.advance(10 * SUSPECT_MS)
    fail(members, 'n3')
    members.tick()
    fail(members, 'n4')
    assert.equal(members.statusOf('n2'), MemberStatus.suspect)
    assert.equal(members.statusOf('n3'), MemberStatus.alive)
    assert.equal(members.statusOf('n4'), MemberStatus.alive)
  })

  it('keeps the members of a zone that is apart', () => {
    const { members, clock } = table()
    const near = ['a1', 'a2', 'a3', 'a4', 'a5', 'a6']
    const far = ['b1', 'b2', 'b3', 'b4', 'b5', 'b6']
    for (const name of near) members.heard(member(name))
    for (const name of far) members.heard(member(name, 1, 'z2'))
    for (let attempt = 0; attempt < PROBE_ATTEMPTS; attempt++) {
      far.forEach((name, i) => {
        members.answered(near[i] ?? '')
        members.unanswered(name)
      })
    }
    assert.deepEqual(
      members.alive().map(({ zone }) => zone),
      near.map(() => 'z1'),
    )
    run(members, clock, 2 * SUSPECT_MS)
    assert.equal(members.known().length, near.length + far.length)
    for (const name of far) members.answered(name)
    assert.equal(members.alive().length, near.length + far.length)
  })

  it('takes over a new run of a node and ignores news of the old one', () => {
    const { members } = table()
    members.heard(member('n2', 2))
    members.heard(member('n2', 1))
    members.receive({
      updates: [{ ...member('n2', 1), status: MemberStatus.removed, version: 9 }],
      memberDigest: 0,
      bucketHashes: [],
    })
    assert.deepEqual(
      members.alive().map(({ incarnation }) => incarnation),
      ['n2-2'],
    )
  })

  it('finds by the digest what the other lacks', () => {
    const clock = VirtualClock.create(10_000)
    const a = table('n1', clock).members
    const b = table('n2', clock).members
    for (let i = 0; i < 40; i++) a.heard(member(`m${i}`))
    // The queued updates are lost on the way.
    for (let i = 0; i < 200; i++) a.exchange()
    a.receive(b.exchange())
    b.receive({ ...a.exchange(), updates: [] })
    const answer = a.receive(b.exchange())
    b.receive(a.exchange(answer))
    assert.equal(b.alive().length, 41)
  })
})
