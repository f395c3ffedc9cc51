import assert from 'node:assert/strict'
import { createSocket } from 'node:dgram'
import { once } from 'node:events'
import { afterEach, describe, it } from 'node:test'
import { monotonicClock } from '@wagtailway/core'
import { encodePlaceDatagram } from '../../statements/placeMessage.js'
import { listenAt } from '../../sockets/sockets.js'
import { PeerLink, type PeerLinkOptions } from '../peerLink.js'
import { PeerTable } from '../peerTable.js'

const HOST = '127.0.0.1'
const USE = encodePlaceDatagram({ type: 'answer', askId: 7, granted: true })

const unforeseen: unknown[] = []
const countUnforeseen = (err: unknown): void => {
  unforeseen.push(err)
}

async function createLink(changes: Partial<PeerLinkOptions>): Promise<PeerLink> {
  return PeerLink.create({
    listen: listenAt({ host: HOST, port: 0 }),
    peers: PeerTable.create({ name: 'n1', zone: 'z1', linkMbps: 100 }, monotonicClock),
    createReport: () => {
      throw new Error('no report is due')
    },
    onReport: () => undefined,
    onPermitMessage: () => undefined,
    onLoadMessage: () => undefined,
    onPlaceDatagram: () => undefined,
    onPathRegained: () => undefined,
    onFault: () => undefined,
    onFailedInside: () => undefined,
    repeat: () => () => undefined,
    ...changes,
  })
}

afterEach(() => {
  process.off('uncaughtExceptionMonitor', countUnforeseen)
  unforeseen.length = 0
})

describe('PeerLink', () => {
  it('goes on after a datagram that could not be applied', async () => {
    process.on('uncaughtExceptionMonitor', countUnforeseen)
    const failures: unknown[] = []
    let seen = 0
    const link = await createLink({
      onPlaceDatagram: () => {
        seen += 1
        throw new Error('can not be applied')
      },
      onFailedInside: (err, host) => failures.push([String(err), host]),
    })
    const sender = createSocket('udp4')
    while (seen < 2) {
      sender.send(USE, link.port, HOST)
      await new Promise((resolve) => setTimeout(resolve, 10))
    }
    sender.close()
    link.close()
    assert.deepEqual(failures[0], ['Error: can not be applied', HOST])
    assert.deepEqual(unforeseen, [])
  })

  it('sends nothing after it was closed, and does not throw', async () => {
    const receiver = createSocket('udp4')
    receiver.bind(0, HOST)
    await once(receiver, 'listening')
    const link = await createLink({})
    link.close()
    link.sendPlaceDatagram(
      { type: 'answer', askId: 7, granted: true },
      { host: HOST, port: receiver.address().port },
    )
    receiver.close()
  })
})
