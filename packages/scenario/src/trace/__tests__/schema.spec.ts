import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { formatTrace, parseTrace } from '../schema.js'

describe('traces', () => {
  it('round-trip through their text', () => {
    const text = '{"atMs":0,"class":"a/b"}\n\n{"atMs":5,"class":"a/c","session":"s"}\n'
    const first = parseTrace(text)
    assert.ok(first.ok)
    const second = parseTrace(formatTrace(first.val))
    assert.ok(second.ok)
    assert.deepEqual(second.val, first.val)
  })

  it('report every invalid line', () => {
    const parsed = parseTrace(
      '{"atMs":-1,"class":"a/b"}\nnot JSON\n{"atMs":0,"class":"a/b"}',
    )
    assert.ok(parsed.err)
    assert.deepEqual(
      parsed.val.map(({ line }) => line),
      [1, 2],
    )
  })
})
