import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { findDamage, type GatewayThrow } from '../throwDamage.js'
import { findWrong, type LoadCall } from '../throwLoad.js'

function call(changes: Partial<LoadCall> & { readonly status?: number }): LoadCall {
  const { status = 0, ...rest } = changes
  return {
    id: 'c1',
    kind: 'safe',
    path: '/plain/c1',
    gateway: 'n2',
    sentAtMs: 1_000,
    endedAtMs: 2_000,
    response: { status, headers: {}, body: '', isWhole: status !== 0 },
    ...rest,
  }
}

function thrown(atMs: number, gateway = 'n2'): GatewayThrow {
  return { gateway, place: 'a.js:1', atMs }
}

const isRelayed = (gateway: string): boolean => gateway === 'n1'

describe('the damage of throws', () => {
  it('is nothing if each throw ended one call in progress', () => {
    const calls = [call({}), call({ status: 502 }), call({ status: 200 })]
    assert.deepEqual(findDamage(calls, [thrown(1_500), thrown(1_600)], isRelayed), [])
  })

  it('is each further call, with the throw during it', () => {
    const calls = [call({ id: 'c1' }), call({ id: 'c2', endedAtMs: 3_000 })]
    const cause = thrown(1_500)
    const [damage, ...others] = findDamage(calls, [cause], isRelayed)
    assert.deepEqual(others, [])
    assert.deepEqual(
      [damage?.call.id, damage?.type, damage?.cause],
      ['c2', 'lost', cause],
    )
  })

  it('is a call that began after the throw, or at another gateway', () => {
    const throws = [thrown(500)]
    assert.equal(findDamage([call({})], throws, isRelayed)[0]?.cause, throws[0])
    assert.equal(findDamage([call({})], [thrown(1_500, 'n3')], isRelayed).length, 1)
  })

  it('excuses a relayed call by a throw at another gateway', () => {
    const calls = [call({ gateway: 'n1' })]
    assert.deepEqual(findDamage(calls, [thrown(1_500, 'n3')], isRelayed), [])
  })

  it('gives a throw to the call that ended first', () => {
    const calls = [
      call({ id: 'long', endedAtMs: 9_000 }),
      call({ id: 'short', endedAtMs: 2_000 }),
    ]
    const throws = [thrown(1_500), thrown(5_000)]
    assert.deepEqual(findDamage(calls, throws, isRelayed), [])
  })

  it('leaves out callers that went away', () => {
    assert.deepEqual(findDamage([call({ kind: 'leaving' })], [], isRelayed), [])
  })
})

describe('an answer', () => {
  it('is wrong if it is of another request or path', () => {
    const whole = { status: 200, isWhole: true, headers: {}, body: 'GET /plain/c1 by p1' }
    assert.equal(findWrong(call({ response: whole })), undefined)
    const ofOther = { ...whole, headers: { 'x-request-id': 'c2' } }
    assert.equal(findWrong(call({ response: ofOther })), 'answer of c2')
    const ofOtherPath = { ...whole, body: 'GET /plain/c10 by p1' }
    assert.equal(findWrong(call({ response: ofOtherPath })), 'answer of another path')
    const empty = { ...whole, body: '' }
    const wrong = 'body with 0 bytes instead of its own'
    assert.equal(findWrong(call({ response: empty })), wrong)
  })

  it('is wrong if events are missing in the middle', () => {
    const body = 'id: 1\ndata: a\n\nid: 3\ndata: a\n\n'
    const response = { status: 200, isWhole: false, headers: {}, body }
    assert.equal(findWrong(call({ path: '/notes/c1', response })), 'events out of order')
  })
})
