import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { VirtualClock } from '@wagtailway/core'
import { PeerTable, type PeerAddress } from '../../peers/peerTable.js'
import { discoverInstances } from '../discoverInstances.js'

const SELF = { name: 'n1', host: '10.1.0.40', port: 7_340 }

describe('discoverInstances', () => {
  it('registers again after the store has lost the entry of this instance', async (t) => {
    t.mock.timers.enable({ apis: ['setTimeout'] })
    const entries = new Map<string, PeerAddress>()
    let registrations = 0
    const stop = discoverInstances({
      self: SELF,
      store: {
        register: (address) => {
          registrations += 1
          entries.set(address.name, address)
          return Promise.resolve(true)
        },
        instances: () => Promise.resolve([...entries.values()]),
      },
      peers: PeerTable.create(
        { name: 'n1', zone: 'z1', linkMbps: 100 },
        VirtualClock.create().now,
      ),
      seedHosts: [],
    })
    const pass = async (seconds: number): Promise<void> => {
      for (let i = 0; i < seconds * 10; i += 1) {
        await new Promise((resolve) => setImmediate(resolve))
        t.mock.timers.tick(100)
      }
    }
    await pass(60)
    assert.equal(registrations, 1)
    entries.clear()
    await pass(30)
    assert.equal(registrations, 2)
    assert.ok(entries.has('n1'))
    stop()
  })
})
