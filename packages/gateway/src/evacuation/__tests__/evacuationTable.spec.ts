import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { VirtualClock, seededRandom } from '@wagtailway/core'
import type { BackendServer } from '../../model/backendServer.js'
import { selectPlacement } from '../../placement/selectPlacement.js'
import {
  EvacuationTable,
  MISSING_EVACUATION_MS,
  type EvacuationChange,
} from '../evacuationTable.js'

const ZONES = ['z1', 'z2', 'z3']
const SERVERS_PER_ZONE = 14

/** More prompts than servers, so that their mean per server means something. */
const PROMPT_COUNT = 3_000

let clock: VirtualClock
let changes: EvacuationChange[]
let evacuations: EvacuationTable

const states = (): string[] => changes.map(({ zone, state }) => `${zone} ${state}`)

beforeEach(() => {
  clock = VirtualClock.create()
  changes = []
  evacuations = EvacuationTable.create({
    clock: clock.now,
    onChange: (change) => changes.push(change),
  })
})

describe('EvacuationTable', () => {
  it('closes a zone until its evacuation is revoked, and reports each change once', () => {
    evacuations.put('z2')
    evacuations.put('z2')
    assert.equal(evacuations.isOpen({ zone: 'z2' }), false)
    assert.equal(evacuations.isOpen({ zone: 'z1' }), true)
    clock.advance(700)
    evacuations.remove('z2')
    evacuations.remove('z2')
    assert.equal(evacuations.isOpen({ zone: 'z2' }), true)
    assert.deepEqual(states(), ['z2 evacuated', 'z2 revoked'])
    assert.equal(changes[1]?.knownForMs, 700)
  })

  it('does not take a service without servers as evacuated', () => {
    evacuations.put('z2')
    assert.equal(evacuations.areAllEvacuated([]), false)
    assert.equal(evacuations.areAllEvacuated([{ zone: 'z2' }]), true)
    assert.equal(evacuations.areAllEvacuated([{ zone: 'z2' }, { zone: 'z1' }]), false)
  })

  it('keeps an evacuation that a restored store lacks until the operator had time to write it', () => {
    evacuations.put('z2')
    evacuations.markMissing('z2')
    clock.advance(MISSING_EVACUATION_MS - 1)
    evacuations.expireMissing()
    assert.equal(evacuations.isOpen({ zone: 'z2' }), false)
    clock.advance(1)
    evacuations.expireMissing()
    assert.equal(evacuations.isOpen({ zone: 'z2' }), true)
    assert.deepEqual(states(), ['z2 evacuated', 'z2 missing', 'z2 given_up'])
  })

  it('keeps one that is written again after a restore for as long as it stands', () => {
    evacuations.put('z2')
    evacuations.markMissing('z2')
    evacuations.put('z2')
    clock.advance(10 * MISSING_EVACUATION_MS)
    evacuations.expireMissing()
    assert.equal(evacuations.isOpen({ zone: 'z2' }), false)
  })

  it('does not keep one for longer because the store is restored again', () => {
    evacuations.put('z2')
    evacuations.markMissing('z2')
    clock.advance(MISSING_EVACUATION_MS - 1)
    evacuations.markMissing('z2')
    clock.advance(1)
    evacuations.expireMissing()
    assert.equal(evacuations.isOpen({ zone: 'z2' }), true)
  })

  it('revokes what a complete list does not contain', () => {
    evacuations.put('z1')
    evacuations.put('z2')
    evacuations.retainOnly(new Set(['z2']))
    assert.equal(evacuations.isOpen({ zone: 'z1' }), true)
    assert.equal(evacuations.isOpen({ zone: 'z2' }), false)
  })
})

/** Servers by id of the prompts whose requests they get, from idle servers of open zones. */
function placePrompts(): Map<string, string[]> {
  const servers = ZONES.flatMap((zone) =>
    Array.from({ length: SERVERS_PER_ZONE }, (_, i) => serverOf(`${zone}-${i}`, zone)),
  ).filter((server) => evacuations.isOpen(server))
  const random = seededRandom(1)
  const prompts = new Map(servers.map(({ id }) => [id, [] as string[]]))
  for (let i = 0; i < PROMPT_COUNT; i += 1) {
    const placement = selectPlacement(
      servers,
      {
        affinityKey: `large part-${i}`,
        sharedTokens: 13_300,
        uniqueTokens: 3_720,
        prefillMsPerToken: () => 0.05,
        urgencyOf: () => 1,
        hasOldLoads: false,
        zone: 'z1',
        hasCachedPrefix: () => false,
      },
      () => ({ running: 0, waitingMs: [0] }),
      random,
    )
    if (placement) prompts.get(placement.server.id)?.push(`part-${i}`)
  }
  return prompts
}

function serverOf(id: string, zone: string): BackendServer {
  const address = { host: '10.0.0.1', port: 1 }
  const fields = { service: 'summariser', version: 'v1', slots: 64, isDraining: false }
  return { id, startedAtMs: 0, zone, ...address, ...fields }
}

describe('preferred servers of prompts while a zone is evacuated', () => {
  it('move only where the zone had them, and spread over all open servers', () => {
    const before = placePrompts()
    evacuations.put('z2')
    const after = placePrompts()
    for (const [id, prompts] of after) {
      const kept = new Set(prompts)
      const moved = (before.get(id) ?? []).filter((prompt) => !kept.has(prompt))
      assert.deepEqual(moved, [], `${id} lost prompts`)
    }
    const counts = [...after.values()].map(({ length }) => length)
    const mean = PROMPT_COUNT / counts.length
    // A herd onto some servers would show as a multiple of the mean.
    assert.ok(Math.max(...counts) < 1.5 * mean, `${Math.max(...counts)} of mean ${mean}`)
    evacuations.remove('z2')
    assert.deepEqual(placePrompts(), before)
  })
})
