import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { VirtualClock } from '@wagtailway/core'
import { PlaceIssuer } from '../placeIssuer.js'
import {
  decodePlaceDatagram,
  encodePlaceDatagram,
  type PlaceDatagram,
} from '../placeMessage.js'

const MESSAGE = {
  incarnation: 's1 5',
  running: 2,
  slots: 6,
  refusals: 0,
  askId: 7,
  isDeputy: true,
  resolvedAskId: 6,
  sequence: 1_700_000_000_000,
}

let sequence = 10

function read(json: string): PlaceDatagram | undefined {
  return decodePlaceDatagram(Buffer.from(json))
}

/** Number of places that one instance gets if it asks for 20. */
function grantedOf(issuer: PlaceIssuer): number {
  let granted = 0
  for (let i = 0; i < 20; i += 1) {
    sequence += 1
    const use = { ...MESSAGE, running: granted, resolvedAskId: sequence - 1, sequence }
    const answer = (isGranted: boolean): void => {
      if (isGranted) granted += 1
    }
    issuer.ask('n3', use, { askId: sequence, isDeputy: false, answer })
  }
  return granted
}

describe('messages about places', () => {
  it('are decoded to what was encoded', () => {
    const datagrams: PlaceDatagram[] = [
      { type: 'use', sender: 'n1', message: MESSAGE },
      { type: 'use', sender: 'n1', message: { ...MESSAGE, askId: undefined } },
      { type: 'answer', askId: 7, granted: true },
    ]
    for (const datagram of datagrams)
      assert.deepEqual(decodePlaceDatagram(encodePlaceDatagram(datagram)), datagram)
  })

  it('are distinguished from any other data', () => {
    const texts = [
      '[3',
      '[3,',
      '[3,"n1","s1 5",1,6,0,7,0,6]',
      '[3,"n1","s1 5",1,6,0,7,0,6,9,1]',
      '[3,1,"s1 5",1,6,0,7,0,6,9]',
      '[3,"n1","s1 5","1",6,0,7,0,6,9]',
      '[3,"n1","s1 5",1,6,0,7.5,0,6,9]',
      '[3,"n1","s1 5",1,6,0,7,0,6,1e999]',
      '[3,"n1","s1 5",1,6,0,7,0,-1,9]',
      '[4,1.5,1]',
      '[4,"7",1]',
      '[1,7,1]',
    ]
    for (const text of texts) assert.equal(read(text), undefined, text)
  })

  // Guards against: places without end, or none at all, at a server of which odd numbers were told.
  it('leave an issuer that issues the slots of a server, whatever they tell', () => {
    const told = [
      '1e999,1e999,0',
      '-50,6,0',
      '0,1e300,0',
      '0,0,1e999',
      '0,0.5,0.5',
      '1e300,6,-1e300',
    ]
    for (const numbers of told) {
      const clock = VirtualClock.create(0)
      const ends: (() => void)[] = []
      const after = (_ms: number, action: () => void): unknown => ends.push(action)
      const issuer = PlaceIssuer.create({ clock: clock.now, after })
      const datagram = read(`[3,"n2","s1 5",${numbers},-1,0,6,9]`)
      assert.ok(datagram?.type === 'use', numbers)
      issuer.record('n2', datagram.message)
      const atOnce = grantedOf(issuer)
      assert.ok(atOnce <= MESSAGE.slots, `${numbers}: ${atOnce} at once`)
      clock.advance(4_000)
      for (const end of ends) end()
      const later = grantedOf(issuer)
      assert.ok(later > 0 && later <= MESSAGE.slots, `${numbers}: ${later} later`)
    }
  })
})
