import assert from 'node:assert/strict'
import { once } from 'node:events'
import { connect } from 'node:net'
import { describe, it } from 'node:test'
import { StoreStandin, fleetConfig } from '@wagtailway/standins'
import { startGateway, waitUntil } from '../../fleet/gatewayHarness.js'

async function isOpen(port: number): Promise<boolean> {
  const socket = connect(port, '127.0.0.1')
  try {
    await once(socket, 'connect')
    return true
  } catch {
    return false
  } finally {
    socket.destroy()
  }
}

// Guards against: a stop waits for a start that is not complete, and for the balancer, which
// has sent nothing yet; or the rest of the start leaves sockets open.
describe('a stop during the start', () => {
  it('ends the start and closes what it has opened', async () => {
    const store = await StoreStandin.create()
    store.put('config', 'main', fleetConfig({ version: 1 }))
    const gateway = await startGateway('n1', store.port)
    await gateway.close()
    const [leaving] = gateway.lines.filter(({ event }) => event === 'leaving')
    assert.equal(leaving?.fields['hasStarted'], false)
    assert.ok(gateway.lines.some(({ event }) => event === 'stop'))
    for (const port of [gateway.port, gateway.feedPort, gateway.peerPort])
      await waitUntil(async () => !(await isOpen(port)))
    await store.close()
  })
})
