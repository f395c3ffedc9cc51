import assert from 'node:assert/strict'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { describe, it } from 'node:test'
import { fileURLToPath } from 'node:url'
import {
  ReplicaStandin,
  StoreStandin,
  callerHeaders,
  fleetConfig,
} from '@wagtailway/standins'
import { eventIds, sendToFleet } from '../../fleet/fleetClient.js'
import { waitUntil } from '../../fleet/gatewayHarness.js'
import { DaemonProcess, createGatewayPlace } from '../daemonProcess.js'

const GATEWAY = fileURLToPath(
  new URL('../../../../../platform/dist/main.js', import.meta.url),
)

const EVENTS = 10

/** Raises an error once, instead of a write to a caller in the middle of a stream. */
const RAISE_ERROR = `
import { ServerResponse } from 'node:http'

const { write } = ServerResponse.prototype
let count = 0
ServerResponse.prototype.write = function (...args) {
  if (this.req.url.startsWith('/notes/')) count += 1
  if (count === 4) {
    count += 1
    throw new Error('raised in a write')
  }
  return write.apply(this, args)
}
`

// Guards against: a stream goes on at another server behind events that were never written.
describe('an error of the program while an event is relayed', () => {
  it('leaves no gap in a stream that ends as complete', async () => {
    const folder = await mkdtemp(join(tmpdir(), 'wagtailway-stream-'))
    await writeFile(join(folder, 'raise.mjs'), RAISE_ERROR)
    const store = await StoreStandin.create()
    store.put('config', 'main', fleetConfig({ version: 1, timeoutMs: 5_000 }))
    const replicas = await Promise.all(
      ['m1', 'm2'].map((id) =>
        ReplicaStandin.create({ id, events: EVENTS, eventMs: 20 }),
      ),
    )
    for (const [i, replica] of replicas.entries())
      store.put('servers', `m${i + 1}`, replica.entry({ service: 'models' }))
    const place = await createGatewayPlace({ storePort: store.port, graceS: 3 })
    const importArgs = ['--import', join(folder, 'raise.mjs')]
    const gateway = DaemonProcess.create([...importArgs, GATEWAY, ...place.args])
    try {
      await waitUntil(() => {
        assert.ok(gateway.isRunning, gateway.stderr)
        return place.isReady()
      })
      const { body, isWhole } = await sendToFleet({
        port: place.callerPort,
        method: 'POST',
        path: '/notes/1',
        headers: callerHeaders({ requestId: 'r1', waitMs: 4_000, isStream: true }),
      })
      const ids = eventIds(body)
      assert.deepEqual(
        ids,
        ids.map((_id, i) => i + 1),
      )
      if (isWhole) assert.equal(ids.length, EVENTS)
      assert.equal(gateway.lines('exchange_failed').length, 1)
    } finally {
      await gateway.close()
      await place.close()
      for (const replica of replicas) await replica.close()
      await store.close()
      await rm(folder, { recursive: true, force: true })
    }
  })
})
