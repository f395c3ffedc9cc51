import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { VirtualClock } from '@wagtailway/core'
import { PermitIssuer } from '../../limits/permitIssuer.js'
import { MAX_AMOUNT } from '../wireValues.js'
import {
  decodePermitMessage,
  encodePermitMessage,
  type PermitMessage,
} from '../permitMessage.js'

const ASK: PermitMessage = {
  type: 'ask',
  asker: 'n1',
  ask: {
    id: 7,
    incarnation: 's1 5',
    requestsPerS: 0.5,
    ageMs: 120,
    count: 3,
    urgency: 2,
  },
}

describe('messages about permits', () => {
  it('are decoded to what was encoded', () => {
    const grant: PermitMessage = {
      type: 'grant',
      id: 7,
      grant: { count: 0, retryAfterMs: 1_800 },
    }
    for (const message of [ASK, grant]) {
      assert.deepEqual(decodePermitMessage(encodePermitMessage(message)), message)
    }
  })

  it('are distinguished from any other data', () => {
    const texts = [
      '',
      '[]',
      '[1]',
      '[1,',
      '[2,1,null,4]',
      '[2,1,-1,4]',
      '[1,"n1",1,"s1 5","1",0,1,1]',
      '[1,"n1",1,7,1,0,1,1]',
      '["n2",1,0,[]]',
      '[1,"n1",1,"s1 5",1e999,0,1,1]',
      '[1,"n1",1.5,"s1 5",1,0,1,1]',
      '[1,"n1",1,"s1 5",1,0,1,1e999]',
      '[2,1,1e999,4]',
      '[2,1,1]',
    ]
    for (const text of texts) {
      assert.equal(decodePermitMessage(Buffer.from(text)), undefined, text)
    }
  })

  // Guards against: NaN in the bucket of a server, which then issues no permit ever again.
  it('leave a bucket that issues permits, whatever they ask for', () => {
    const clock = VirtualClock.create(0)
    const issuer = PermitIssuer.create(clock.now)
    const issueAll = (json: string): number | undefined => {
      const message = decodePermitMessage(Buffer.from(json))
      if (message?.type !== 'ask') return undefined
      const role = { isDeputy: false, fleetShare: 1 }
      return issuer.issue({ ...message.ask, asker: message.asker }, role).count
    }
    const odd = [
      '[1,"n1",1,"s1 5",1e999,0,1,0]',
      '[1,"n1",2,"s1 5",1e300,0,1e300,1e300]',
      '[1,"n1",3,"s1 5",0,0,0.5,0.5]',
    ]
    for (const json of odd) {
      issueAll(json)
      clock.advance(2_000)
    }
    assert.equal(issueAll('[1,"n1",9,"s1 5",1,0,1,0]'), 1)
  })

  it('ask for whole permits at a known urgency', () => {
    const json = '[1,"n1",7,"s1 5",1e300,12.5,1.5,70]'
    const message = decodePermitMessage(Buffer.from(json))
    assert.ok(message?.type === 'ask')
    const { requestsPerS, ageMs, count, urgency } = message.ask
    assert.deepEqual([requestsPerS, ageMs, count, urgency], [MAX_AMOUNT, 12, 1, 9])
  })
})
