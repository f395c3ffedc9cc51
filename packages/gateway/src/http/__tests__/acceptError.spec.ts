import assert from 'node:assert/strict'
import { Server } from 'node:net'
import { afterEach, beforeEach, describe, it, mock } from 'node:test'
import type { GatewayNode } from '../../gatewayNode.js'
import { connectDirectly } from '../../paths/directConnection.js'
import { RelayServer } from '../../paths/relayServer.js'
import { CallerServer } from '../callerServer.js'
import { PlainServer } from '../plainServer.js'

const ADDRESS = { host: '127.0.0.1', port: 0 }

let listening: Server[] = []
let errors: string[] = []

function record(err: unknown): void {
  errors.push(String(err))
}

/** Reports errors as the runtime does for connections that it can't accept. */
function failToAccept(times: number): void {
  const [server] = listening
  assert.ok(server)
  for (let i = 0; i < times; i += 1) server.emit('error', new Error('accept EMFILE'))
}

beforeEach(() => {
  listening = []
  errors = []
  const listenBefore = Object.getOwnPropertyDescriptor(Server.prototype, 'listen')
    ?.value as (this: Server, ...args: unknown[]) => Server
  mock.method(Server.prototype, 'listen', function (this: Server, ...args: unknown[]) {
    listening.push(this)
    return listenBefore.apply(this, args)
  })
})

afterEach(() => {
  mock.restoreAll()
})

// Guards against: connections that can't be accepted, as where descriptors are short, end the
// process.
describe('connections that cannot be accepted', () => {
  it('are told of by the server for callers', async () => {
    const log = (_event: string, { err }: { readonly err?: unknown }): void => {
      record(err)
    }
    const node = { opts: { log } } as unknown as GatewayNode
    const server = await CallerServer.create(node, ADDRESS)
    failToAccept(3)
    await server.drain(100)
    assert.equal(errors.length, 3)
  })

  it('are told of by plain servers', async () => {
    const server = await PlainServer.create(
      ADDRESS,
      () => ({ status: 200, body: '' }),
      record,
    )
    failToAccept(3)
    server.close()
    assert.equal(errors.length, 3)
  })

  it('are told of by relays', async () => {
    const server = await RelayServer.create({
      address: ADDRESS,
      admit: () => 'unknown_server',
      connect: connectDirectly,
      otherServer: () => undefined,
      onRequest: () => undefined,
      onError: record,
      onOpenCount: () => undefined,
    })
    failToAccept(3)
    server.close()
    assert.equal(errors.length, 3)
  })
})
