import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { checkLost, type SoakCall } from '../soakCheck.js'

function call(changes: {
  gateway?: string
  status?: number
  sentAtMs?: number
}): SoakCall {
  const { gateway = 'n1', status = 0, sentAtMs = 1_000 } = changes
  return {
    id: `c-${sentAtMs}`,
    kind: 'plain',
    path: '/plain/1',
    response: { status, headers: {}, body: '', isWhole: status !== 0 },
    gateway,
    sentAtMs,
    endedAtMs: sentAtMs + 40,
  }
}

describe('checkLost', () => {
  const down = new Map([
    ['n1', [{ fromMs: 2_000, untilMs: 3_000 }]],
    ['n2', []],
  ])

  it('finds requests without an answer, with their number and longest duration', () => {
    const calls = [call({ sentAtMs: 1_000 }), call({ sentAtMs: 3_100 })]
    assert.deepEqual(checkLost(calls, down), [
      'n1: 2 requests without an answer, after 40 ms at most: c-1000 c-3100',
    ])
  })

  it('excuses requests that were in progress while the soak kept a gateway down', () => {
    const calls = [call({ sentAtMs: 1_970 }), call({ sentAtMs: 2_990 })]
    assert.deepEqual(checkLost(calls, down), [])
  })

  it('excuses only requests at that gateway', () => {
    const calls = [call({ sentAtMs: 2_500, gateway: 'n2' })]
    assert.match(checkLost(calls, down).join(), /^n2: 1 requests/)
  })

  it('finds nothing if all were answered, refusals included', () => {
    assert.deepEqual(checkLost([call({ status: 200 }), call({ status: 503 })], down), [])
  })
})
