import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { VirtualClock } from '@wagtailway/core'
import type { ConnectionResult } from '../../forward/probeConnection.js'
import type { BackendServer } from '../../model/backendServer.js'
import { createMetrics } from '../../observe/metrics.js'
import { CrashQuarantine } from '../crashQuarantine.js'
import type { RequestInFlight } from '../requestsInFlight.js'

/** Time between two crashes, in milliseconds. */
const CRASH_INTERVAL_MS = 500

let clock: VirtualClock
let probeResult: ConnectionResult
let plannedEnds: Set<string>

function server(id: string, startedAtMs = 1): BackendServer {
  return {
    id,
    startedAtMs,
    service: 'models',
    host: '10.0.0.9',
    port: 80,
    zone: 'z1',
    version: 'v1',
    slots: 64,
    isDraining: false,
  }
}

function createQuarantine(): CrashQuarantine {
  return CrashQuarantine.create({
    clock: clock.now,
    log: () => undefined,
    metrics: createMetrics(),
    probe: () => Promise.resolve(probeResult),
    isPlannedEnd: ({ id }) => plannedEnds.has(id),
  })
}

function begin(
  quarantine: CrashQuarantine,
  serverId: string,
  ...traits: string[]
): RequestInFlight {
  return quarantine.begin(
    server(serverId),
    traits.map((id, position) => ({ id, position })),
  )
}

function isQuarantined(quarantine: CrashQuarantine, trait: string): boolean {
  return quarantine.admit([{ id: trait, position: 0 }]) === trait
}

/** Sends a request with the trait to each server; each of them ends. */
async function crashServers(
  quarantine: CrashQuarantine,
  serverIds: readonly string[],
  trait = 'bad',
): Promise<void> {
  for (const id of serverIds) {
    const prompt = begin(quarantine, id, 'first', trait)
    await quarantine.hasEnded(server(id))
    prompt.end()
    clock.advance(CRASH_INTERVAL_MS)
    const sound = begin(quarantine, 'other', 'first')
    sound.recordSound(clock.now())
  }
}

beforeEach(() => {
  clock = VirtualClock.create()
  probeResult = 'refused'
  plannedEnds = new Set()
})

describe('a trait under which servers end', () => {
  it('is quarantined, and the trait beside it is not', async () => {
    const quarantine = createQuarantine()
    await crashServers(quarantine, ['s1', 's2', 's3'])
    assert.equal(isQuarantined(quarantine, 'bad'), true)
    assert.equal(isQuarantined(quarantine, 'first'), false)
  })

  // Guards against: a loop without end, as a trait of such a generation is never quarantined.
  it('is quarantined whatever generation another instance tells of it', async () => {
    for (const generation of [1e300, 2 ** 53, 2 ** 53 - 2, 0.5, -3, Number.NaN]) {
      const quarantine = createQuarantine()
      const told = { trait: 'bad', generation, probes: 0, refusedAgeMs: 5 }
      quarantine.applyReport('n2', { crashes: [], sound: [], traits: [told] })
      await crashServers(quarantine, ['s1', 's2', 's3'])
      assert.equal(isQuarantined(quarantine, 'bad'), true, String(generation))
    }
  })

  it('is told by several instances that each saw one crash', async () => {
    const instances = ['n1', 'n2', 'n3'].map((name) => ({
      name,
      quarantine: createQuarantine(),
    }))
    for (const [i, { quarantine }] of instances.entries())
      await crashServers(quarantine, [`s${i}`])
    for (const from of instances) {
      for (const to of instances) {
        if (to !== from) to.quarantine.applyReport(from.name, from.quarantine.report)
      }
    }
    for (const { quarantine } of instances)
      assert.equal(isQuarantined(quarantine, 'bad'), true)
  })

  it('is told although the requests were given up before their servers ended', async () => {
    const observer = createQuarantine()
    const sender = createQuarantine()
    for (const id of ['s1', 's2', 's3']) {
      begin(sender, id, 'first', 'bad').end()
      begin(observer, id, 'popular')
      await observer.hasEnded(server(id))
      sender.applyReport('observer', observer.report)
      clock.advance(CRASH_INTERVAL_MS)
      begin(sender, 'other', 'first').recordSound(clock.now())
      begin(observer, 'other', 'popular').recordSound(clock.now())
    }
    assert.equal(isQuarantined(sender, 'bad'), true)
  })

  it('is told from a popular one once a late report arrives', async () => {
    const sender = createQuarantine()
    const bystander = createQuarantine()
    for (const id of ['s1', 's2', 's3', 's4']) {
      begin(sender, id, 'popular', 'bad')
      begin(bystander, id, 'popular')
      await sender.hasEnded(server(id))
      await bystander.hasEnded(server(id))
      clock.advance(CRASH_INTERVAL_MS)
    }
    assert.equal(isQuarantined(bystander, 'popular'), true)
    begin(sender, 'other', 'popular').recordSound(0)
    bystander.applyReport('sender', sender.report)
    assert.equal(isQuarantined(bystander, 'popular'), false)
    assert.equal(isQuarantined(bystander, 'bad'), true)
  })

  it('is released by a response that goes on', async () => {
    const quarantine = createQuarantine()
    await crashServers(quarantine, ['s1', 's2', 's3'])
    begin(quarantine, 's4', 'bad').recordSound(clock.now() + 1)
    assert.equal(isQuarantined(quarantine, 'bad'), false)
  })

  it('is quarantined beside another one under which servers end as well', async () => {
    const quarantine = createQuarantine()
    await crashServers(quarantine, ['s1', 's2'], 'bad')
    await crashServers(quarantine, ['s3', 's4'], 'worse')
    await crashServers(quarantine, ['s5'], 'bad')
    await crashServers(quarantine, ['s6'], 'worse')
    assert.equal(isQuarantined(quarantine, 'bad'), true)
    assert.equal(isQuarantined(quarantine, 'worse'), true)
  })
})

describe('a trait in flight at servers that leave for other reasons', () => {
  const SERVERS = ['s1', 's2', 's3', 's4', 's5', 's6']

  async function expectNotQuarantined(quarantine: CrashQuarantine): Promise<void> {
    await crashServers(quarantine, SERVERS)
    assert.equal(isQuarantined(quarantine, 'bad'), false)
    assert.equal(isQuarantined(quarantine, 'first'), false)
  }

  it('is not quarantined if their connections were only reset', async () => {
    probeResult = 'accepted'
    await expectNotQuarantined(createQuarantine())
  })

  it('is not quarantined if this instance is cut off from them', async () => {
    probeResult = 'no_response'
    await expectNotQuarantined(createQuarantine())
  })

  it('is not quarantined if their end was planned', async () => {
    plannedEnds = new Set(SERVERS)
    await expectNotQuarantined(createQuarantine())
  })

  it('is not quarantined for one crash that many instances saw', async () => {
    const quarantine = createQuarantine()
    begin(quarantine, 's1', 'first', 'bad')
    await quarantine.hasEnded(server('s1'))
    for (const peer of ['n2', 'n3', 'n4', 'n5']) {
      clock.advance(CRASH_INTERVAL_MS)
      const { report } = quarantine
      const other = createQuarantine()
      other.applyReport('n1', report)
      quarantine.applyReport(peer, report)
      assert.equal(isQuarantined(other, 'bad'), false)
    }
    assert.equal(isQuarantined(quarantine, 'bad'), false)
  })

  // Guards against: every later check of a server that fails because the first one did.
  it('is checked again after a check that failed', async () => {
    const quarantine = CrashQuarantine.create({
      clock: clock.now,
      log: () => undefined,
      metrics: createMetrics(),
      probe: () => {
        probes += 1
        return probes === 1
          ? Promise.reject(new Error('no descriptor'))
          : Promise.resolve('refused')
      },
      isPlannedEnd: () => false,
    })
    let probes = 0
    await assert.rejects(quarantine.hasEnded(server('s1')), /no descriptor/)
    assert.equal(await quarantine.hasEnded(server('s1')), true)
  })
})
