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

/** Advances the clock with regular ticks, as in a process that isn't paused. */
function runFor(members: MemberTable, clock: VirtualClock, ms: number): void {
  for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 500) {
    clock.advance(500)
    members.tick()
  }
}

function failProbes(members: MemberTable, node: string, times = PROBE_ATTEMPTS): void {
  for (let i = 0; i < times; i++) members.recordProbeFailure(node)
}

describe('MemberTable', () => {
  it('treats a member that stopped responding as not alive, and removes it much later', () => {
    const { members, clock } = table()
    for (const name of ['n2', 'n3', 'n4', 'n5', 'n6']) members.recordContact(member(name))
    for (const name of ['n3', 'n4', 'n5', 'n6']) members.recordProbeSuccess(name)
    failProbes(members, 'n2')
    assert.equal(members.statusOf('n2'), MemberStatus.suspect)
    assert.equal(
      members.alive().some(({ node }) => node === 'n2'),
      false,
    )
    runFor(members, clock, SUSPECT_MS - 500)
    assert.equal(members.statusOf('n2'), MemberStatus.suspect)
    runFor(members, clock, 500)
    assert.equal(members.statusOf('n2'), MemberStatus.removed)
    assert.equal(members.removals, 1)
  })

  it('lets a suspect member refute the suspicion', () => {
    const a = table('n1').members
    const b = table('n2').members
    a.recordContact(member('n2'))
    for (const name of ['n3', 'n4', 'n5']) {
      a.recordContact(member(name))
      a.recordProbeSuccess(name)
    }
    for (let i = 0; i < 3; i++) a.recordProbeSuccess('n3')
    failProbes(a, 'n2')
    assert.equal(a.statusOf('n2'), MemberStatus.suspect)
    b.receive(a.createExchange([], 'n2'))
    a.receive(b.createExchange())
    assert.equal(a.statusOf('n2'), MemberStatus.alive)
  })

  it('refutes again when the refutation was lost', () => {
    const { members } = table('n2')
    const suspicion = { ...member('n2'), status: MemberStatus.suspect, version: 1 }
    const exchange = { updates: [suspicion], memberDigest: 0, bucketHashes: [] }
    members.receive(exchange)
    for (let i = 0; i < 10; i++) members.createExchange()
    members.receive(exchange)
    assert.deepEqual(members.createExchange().updates, [members.self])
  })

  it('removes no member while this node itself is isolated', () => {
    const { members, clock } = table()
    const names = Array.from({ length: 20 }, (_, i) => `n${i + 2}`)
    for (const name of names) members.recordContact(member(name))
    for (const name of names) failProbes(members, name)
    assert.equal(members.health.isIsolated, true)
    runFor(members, clock, 2 * SUSPECT_MS)
    const statuses = names.map((name) => members.statusOf(name))
    assert.equal(statuses.includes(MemberStatus.removed), false)
    const suspected = statuses.filter((status) => status === MemberStatus.suspect)
    assert.ok(suspected.length <= 1)
  })

  it('neither suspects nor removes a member right after a pause', () => {
    const { members, clock } = table()
    for (const name of ['n2', 'n3', 'n4', 'n5']) members.recordContact(member(name))
    members.receive({
      updates: [{ ...member('n2'), status: MemberStatus.suspect, version: 1 }],
      memberDigest: 0,
      bucketHashes: [],
    })
    clock.advance(10 * SUSPECT_MS)
    failProbes(members, 'n3')
    members.tick()
    failProbes(members, 'n4')
    assert.equal(members.statusOf('n2'), MemberStatus.suspect)
    assert.equal(members.statusOf('n3'), MemberStatus.alive)
    assert.equal(members.statusOf('n4'), MemberStatus.alive)
  })

  it('retains the members of an unreachable zone', () => {
    const { members, clock } = table()
    const localNodes = ['a1', 'a2', 'a3', 'a4', 'a5', 'a6']
    const remoteNodes = ['b1', 'b2', 'b3', 'b4', 'b5', 'b6']
    for (const name of localNodes) members.recordContact(member(name))
    for (const name of remoteNodes) members.recordContact(member(name, 1, 'z2'))
    for (let attempt = 0; attempt < PROBE_ATTEMPTS; attempt++) {
      remoteNodes.forEach((name, i) => {
        members.recordProbeSuccess(localNodes[i] ?? '')
        members.recordProbeFailure(name)
      })
    }
    assert.deepEqual(
      members.alive().map(({ zone }) => zone),
      localNodes.map(() => 'z1'),
    )
    runFor(members, clock, 2 * SUSPECT_MS)
    assert.equal(members.known().length, localNodes.length + remoteNodes.length)
    for (const name of remoteNodes) members.recordProbeSuccess(name)
    assert.equal(members.alive().length, localNodes.length + remoteNodes.length)
  })

  it('replaces a node by its new run and ignores updates about the old one', () => {
    const { members } = table()
    members.recordContact(member('n2', 2))
    members.recordContact(member('n2', 1))
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

  it('sends updates that the other node lacks, found by the digest', () => {
    const clock = VirtualClock.create(10_000)
    const a = table('n1', clock).members
    const b = table('n2', clock).members
    for (let i = 0; i < 40; i++) a.recordContact(member(`m${i}`))
    // All queued updates are lost in transit.
    for (let i = 0; i < 200; i++) a.createExchange()
    a.receive(b.createExchange())
    b.receive({ ...a.createExchange(), updates: [] })
    const lacking = a.receive(b.createExchange())
    b.receive(a.createExchange(lacking))
    assert.equal(b.alive().length, 41)
  })
})
