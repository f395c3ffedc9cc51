import assert from 'node:assert/strict'
import { Agent } from 'node:http'
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
import { sendToFleet } from '../../fleet/fleetClient.js'
import { waitUntil } from '../../fleet/gatewayHarness.js'
import { DaemonProcess, createGatewayPlace } from '../daemonProcess.js'

const GATEWAY = fileURLToPath(
  new URL('../../../../../platform/dist/main.js', import.meta.url),
)

const COUNT = 8
const BODY_BYTES = 1_000_000

/** Writes the size of all buffers to standard error, on a signal that the gateway ignores. */
const TELL_BUFFERS = `
process.on('SIGUSR2', () => {
  gc()
  setTimeout(() => {
    gc()
    process.stderr.write('buffers ' + process.memoryUsage().arrayBuffers + ' bytes\\n')
  }, 50)
})
`

// Guards against: the owner of a connection's errors keeps the request for which it was opened,
// with its body, beside the budget of the memory.
describe('a kept connection to a backend server', () => {
  it('keeps nothing of the request for which it was opened', async () => {
    const folder = await mkdtemp(join(tmpdir(), 'wagtailway-kept-'))
    await writeFile(join(folder, 'buffers.mjs'), TELL_BUFFERS)
    const store = await StoreStandin.create()
    store.put('config', 'main', fleetConfig({ version: 1, timeoutMs: 8_000 }))
    const plain = await ReplicaStandin.create({ id: 'p1', responseMs: () => 100 })
    store.put('servers', 'p1', plain.entry({ slots: 2 * COUNT }))
    const place = await createGatewayPlace({ storePort: store.port, graceS: 3 })
    const importArgs = ['--expose-gc', '--import', join(folder, 'buffers.mjs')]
    const gateway = DaemonProcess.create([...importArgs, GATEWAY, ...place.args])
    const agent = new Agent({ keepAlive: true })
    const sendAll = async (name: string, bytes: number): Promise<void> => {
      const send = async (id: string): Promise<void> => {
        const { status } = await sendToFleet({
          port: place.callerPort,
          method: 'POST',
          path: `/plain/${id}`,
          body: 'x'.repeat(bytes),
          headers: callerHeaders({ requestId: id, waitMs: 7_000 }),
          agent,
        })
        assert.equal(status, 200)
      }
      await Promise.all(Array.from({ length: COUNT }, (_, i) => send(`${name}${i}`)))
    }
    try {
      await waitUntil(() => {
        assert.ok(gateway.isRunning, gateway.stderr)
        return place.isReady()
      })
      await sendAll('large', BODY_BYTES)
      // Uses the same connections again.
      await sendAll('small', 10)
      gateway.signal('SIGUSR2')
      const told = /buffers (\d+) bytes/
      await waitUntil(() => told.test(gateway.stderr))
      const keptBytes = Number(told.exec(gateway.stderr)?.[1])
      assert.ok(keptBytes < BODY_BYTES, `${keptBytes} bytes`)
    } finally {
      agent.destroy()
      await gateway.close()
      await place.close()
      await plain.close()
      await store.close()
      await rm(folder, { recursive: true, force: true })
    }
  })
})
