/** Connections without requests, more than a real process has descriptors. */
import assert from 'node:assert/strict'
import { Agent } from 'node:http'
import { afterEach, describe, it } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { waitUntil } from '../../../fleet/gatewayHarness.js'
import { MemoryFleet } from '../../../fleet/memoryFleet.js'
import { Crowd } from '../../crowd.js'
import { CROWD_FORMS } from '../../crowdForms.js'
import { openDescriptors } from '../../processUse.js'

const FILE_LIMIT = 250
const MAX_DESCRIPTORS = 220

/** Time between two measurements, in milliseconds, and their number. */
const MEASURE_MS = 50
const MEASURE_COUNT = 10

let fleet: MemoryFleet | undefined
let crowd: Crowd | undefined

afterEach(async () => {
  crowd?.close()
  await fleet?.close()
})

// Guards against: silent connections take all descriptors, so that connections to servers fail
// and callers are refused.
describe('more silent connections than descriptors', () => {
  for (const socket of ['callers', 'control', 'metrics'] as const) {
    it(`at the port for ${socket} leave some for the connections of callers and servers`, async () => {
      fleet = await MemoryFleet.create({
        memoryMb: 178,
        heapMb: 120,
        fileLimit: FILE_LIMIT,
      })
      const { gateway } = fleet
      const form = CROWD_FORMS['silent connections']
      assert.ok(form)
      const port = gateway.opts.ports[socket]
      crowd = await Crowd.create(form, { port, path: '/', headers: () => ({}) })
      let descriptors = 0
      for (let i = 0; i < MEASURE_COUNT; i += 1) {
        descriptors = Math.max(descriptors, await openDescriptors(gateway.pid ?? 0))
        await sleep(MEASURE_MS)
      }
      await waitUntil(async () => {
        const agent = new Agent({ keepAlive: false })
        return (await fleet?.sendSound(agent))?.status === 200
      })
      assert.ok(descriptors < MAX_DESCRIPTORS, `${descriptors} descriptors`)
    })
  }
})
