import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { formatTrace, parseTrace } from '../schema.js'

describe('traces', () => {
  it('are read as they were written', () => {
    const text = '{"atMs":0,"class":"a/b"}\n\n{"atMs":5,"class":"a/c","session":"s"}\n'
    const first = parseTrace(text)
    assert.ok(first.ok)
    const second = parseTrace(formatTrace(first.val))
    assert.ok(second.ok)
    assert.deepEqual(second.val, first.val)
  })

  it('report every bad line', () => {
    const read = parseTrace(
      '{"atMs":-1,"class":"a/b"}\nnot JSON\n{"atMs":0,"class":"a/b"}',
    )
    assert.ok(read.err)
    assert.deepEqual(
      read.val.map(({ line }) => line),
      [1, 2],
    )
  })
})
