import assert from 'node:assert/strict'
import { describe, it, type TestContext } from 'node:test'
import { VirtualClock } from '@wagtailway/core'
import { PeerTable, type PeerAddress } from '../../peers/peerTable.js'
import { createMetrics } from '../../observe/metrics.js'
import { discoverInstances, type DiscoveryOptions } from '../discoverInstances.js'
import { Loop } from '../loop.js'

const SELF = { name: 'n1', host: '10.1.0.40', port: 7_340 }

/** Runs the discovery against a store; returns functions to let time pass and to stop. */
function discover(t: TestContext, store: DiscoveryOptions['store']) {
  t.mock.timers.enable({ apis: ['setTimeout'] })
  const clock = VirtualClock.create()
  const peers = PeerTable.create({ name: 'n1', zone: 'z1', linkMbps: 100 }, clock.now)
  const stop = discoverInstances({
    log: () => undefined,
    self: SELF,
    store,
    peers,
    seedHosts: [],
    repeat: (action) =>
      Loop.create({ log: () => undefined, metrics: createMetrics() }, 'discovery').repeat(
        0,
        action,
      ),
  })
  const pass = async (seconds: number): Promise<void> => {
    for (let i = 0; i < seconds * 10; i += 1) {
      await new Promise((resolve) => setImmediate(resolve))
      t.mock.timers.tick(100)
    }
  }
  return { pass, stop }
}

describe('discoverInstances', () => {
  it('registers again after the store has lost the entry of this instance', async (t) => {
    const entries = new Map<string, PeerAddress>()
    let registrations = 0
    const { pass, stop } = discover(t, {
      register: (address) => {
        registrations += 1
        entries.set(address.name, address)
        return Promise.resolve(true)
      },
      instances: () => Promise.resolve([...entries.values()]),
    })
    await pass(60)
    assert.equal(registrations, 1)
    entries.clear()
    await pass(30)
    assert.equal(registrations, 2)
    assert.ok(entries.has('n1'))
    stop()
  })

  it('polls again soon after a single failure, however long it has run', async (t) => {
    let polls = 0
    let fails = false
    const { pass, stop } = discover(t, {
      register: () => Promise.resolve(true),
      instances: () => {
        polls += 1
        return Promise.resolve(fails ? undefined : [SELF])
      },
    })
    await pass(120)
    fails = true
    const pollsBefore = polls
    while (polls === pollsBefore) await pass(1)
    fails = false
    await pass(1)
    assert.equal(polls, pollsBefore + 2)
    stop()
  })

  it('polls again after an error while the list was applied', async (t) => {
    let polls = 0
    const { pass, stop } = discover(t, {
      register: () => Promise.resolve(true),
      instances: () => {
        polls += 1
        return polls === 2
          ? Promise.reject(new Error('unforeseen'))
          : Promise.resolve([SELF])
      },
    })
    await pass(10)
    assert.ok(polls > 3, `${polls} polls`)
    stop()
  })
})
