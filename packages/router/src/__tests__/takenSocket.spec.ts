import assert from 'node:assert/strict'
import { once } from 'node:events'
import { Server, createServer, type AddressInfo } from 'node:net'
import { after, describe, it, mock } from 'node:test'
import { createLog } from '../log.js'
import { RouterMetrics } from '../metrics.js'
import { listenWithRetry } from '../http/listen.js'
import { resolveConfig } from '../options.js'
import { Router } from '../router.js'

const HOST = '127.0.0.1'

/** Time for which another process holds a socket, in milliseconds. */
const HELD_MS = 500

const closeActions: (() => unknown)[] = []

/** Holds a port; returns it and a function that releases it. */
async function hold(): Promise<{ port: number; release: () => void }> {
  const holder = createServer((socket) => socket.destroy())
  holder.listen(0, HOST)
  await once(holder, 'listening')
  const { port } = holder.address() as AddressInfo
  return { port, release: () => holder.close() }
}

async function startRouter(ports: Record<string, number>): Promise<Router> {
  const resolved = resolveConfig({
    node: 'n1',
    zone: 'z1',
    platform: `http://${HOST}:1`,
    sessionKeys: ['first-key'],
    drainGraceMs: 0,
    ...ports,
  })
  const router = await Router.create(resolved.unwrap())
  closeActions.push(() => router.close())
  return router
}

async function healthOf(router: Router): Promise<number> {
  const { status } = await fetch(`http://${router.address}/healthz`)
  return status
}

after(async () => {
  for (const close of closeActions.splice(0)) await close()
})

// Guards against: a socket that another process holds at the start, or that reports an error
// later, ends the router.
describe('a listening socket of a router', () => {
  for (const setting of ['port', 'peerPort'])
    it(`that is taken at the start is waited for (${setting})`, async () => {
      const { port, release } = await hold()
      setTimeout(release, HELD_MS)
      const router = await startRouter({ [setting]: port })
      const address = setting === 'port' ? router.address : router.peerAddress
      assert.equal(address, `${HOST}:${port}`)
      assert.equal(await healthOf(router), 200)
    })

  it('that stays taken fails with its name, address and setting', async () => {
    const { port, release } = await hold()
    const listen = listenWithRetry({
      socket: 'peers',
      host: HOST,
      port,
      setting: '--peer-port',
      log: createLog('n1').log,
      metrics: RouterMetrics.create(),
      maxWaitMs: 100,
    })
    await assert.rejects(listen(createServer()), (err: Error) => {
      const start = `the socket for peers at ${HOST}:${port} (setting --peer-port) can't be bound: EADDRINUSE`
      assert.ok(err.message.startsWith(start), err.message)
      return true
    })
    release()
  })

  it('that reports errors goes on', async () => {
    const listen = mock.method(Server.prototype, 'listen')
    const router = await startRouter({})
    const servers = listen.mock.calls.map((call) => call.this as Server)
    mock.restoreAll()
    assert.equal(servers.length, 2)
    for (const server of servers)
      for (let i = 0; i < 20; i++)
        server.emit(
          'error',
          Object.assign(new Error('accept EMFILE'), { code: 'EMFILE' }),
        )
    assert.equal(await healthOf(router), 200)
    const page = await (await fetch(`http://${router.address}/metrics`)).text()
    for (const socket of ['callers', 'peers'])
      assert.match(
        page,
        new RegExp(
          `^wagtailway_socket_errors_total{socket="${socket}",code="EMFILE"} 20$`,
          'm',
        ),
      )
  })
})
