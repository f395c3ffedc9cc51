import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { VirtualClock, seededRandom } from '@wagtailway/core'
import type { BackendServer } from '../../model/backendServer.js'
import { ServiceAdmission } from '../serviceAdmission.js'

const SLOTS = 6

/** Requests in progress, more than there are slots. */
const BUSY = 9

let clock: VirtualClock
let running: number
let admission: ServiceAdmission

beforeEach(() => {
  clock = VirtualClock.create()
  running = 0
  const server: BackendServer = {
    ...{ id: 's1', startedAtMs: 0, service: 'models', host: '', port: 0, zone: 'z1' },
    ...{ version: 'v1', slots: SLOTS, isDraining: false },
  }
  const load = (): { running: number; waitingMs: number[] } => ({
    running,
    waitingMs: [],
  })
  admission = ServiceAdmission.create({
    clock: clock.now,
    random: seededRandom(1),
    servers: () => [server],
    loadOf: load,
    ownLoadOf: load,
    instanceCount: () => 1,
    loadsAgeMs: () => undefined,
  })
})

/** Decides on a request in each 20 ms; returns the number of refusals. */
function refusals(ms: number): number {
  let count = 0
  for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 20) {
    const { decision } = admission.decide({ workspace: 'a', priority: 0 })
    if (decision.type === 'refuse') count += 1
    clock.advance(20)
  }
  return count
}

describe('ServiceAdmission', () => {
  // Guards against: a few requests more than slots for a moment are refused, though servers
  // queue them and serve them within their target.
  it('refuses nothing in a burst shorter than a second, however long nothing came before', () => {
    admission.decide({ workspace: 'a', priority: 0 })
    clock.advance(30_000)
    running = BUSY
    assert.equal(refusals(900), 0)
    running = 2
    assert.equal(refusals(200), 0)
    running = BUSY
    assert.equal(refusals(900), 0)
  })

  it('refuses requests while an overload lasts, and none soon after', () => {
    running = BUSY
    refusals(1_500)
    assert.ok(refusals(1_500) > 0)
    running = 2
    refusals(4_000)
    assert.equal(refusals(1_000), 0)
  })
})
