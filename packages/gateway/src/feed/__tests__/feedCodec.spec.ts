import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { gunzipSync } from 'node:zlib'
import { FeedEncoder } from '../feedCodec.js'
import type { FeedUpdate } from '../feedState.js'

const MARK = { kind: 'config', era: 1, changedAt: 8, asOf: 14, ageMs: 300 }

function update(object: unknown, ageMs = 300): FeedUpdate<unknown> {
  const events = [
    { name: 'main', object },
    { name: 'gone', object: undefined },
  ]
  return { mark: { ...MARK, ageMs }, isWhole: false, events }
}

const LARGE = Array.from({ length: 2_000 }, (_, i) => ({ name: `route-${i}` }))

describe('FeedEncoder', () => {
  it('encodes what JSON would, compressed only if it is large and accepted', () => {
    const encoder = FeedEncoder.create()
    for (const [object, acceptsGzip] of [
      [LARGE, true],
      [LARGE, false],
      ['small', true],
    ] as const) {
      const { body, isCompressed } = encoder.encode(update(object), acceptsGzip)
      assert.equal(isCompressed, acceptsGzip && object === LARGE)
      const text = (isCompressed ? gunzipSync(body) : body).toString()
      assert.deepEqual(JSON.parse(text), JSON.parse(JSON.stringify(update(object))))
    }
  })

  it('does not serialize the same objects again for the next instance', () => {
    let serialized = 0
    const object = {
      toJSON: () => {
        serialized += 1
        return LARGE
      },
    }
    const encoder = FeedEncoder.create()
    const first = encoder.encode(update(object, 300), true)
    const second = encoder.encode(update(object, 450), true)
    assert.equal(serialized, 1)
    assert.match(gunzipSync(first.body).toString(), /"ageMs":300/)
    assert.match(gunzipSync(second.body).toString(), /"ageMs":450/)
    encoder.encode(update({ ...object }, 500), true)
    assert.equal(serialized, 2)
  })

  it('makes a configuration of many routes at least five times smaller', () => {
    const { body } = FeedEncoder.create().encode(update(LARGE), true)
    assert.ok(body.length * 5 < JSON.stringify(LARGE).length, `${body.length} bytes`)
  })
})
