import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { EventSplitter } from '../eventSplitter.js'

const eventText = (id: number): string => `id: ${id}\ndata: token ${id}\n\n`

describe('EventSplitter', () => {
  it('returns the same events and bytes however the stream is split into chunks', () => {
    const stream = Buffer.from([1, 2, 3, 4].map(eventText).join(''))
    fc.assert(
      fc.property(fc.array(fc.nat(stream.length)), (splitPoints) => {
        const splitter = EventSplitter.create()
        const chunkEnds = [...splitPoints.toSorted((a, b) => a - b), stream.length]
        let start = 0
        const events = chunkEnds.flatMap((end) => {
          const chunk = stream.subarray(start, end)
          start = end
          return splitter.push(chunk)
        })
        assert.deepEqual(
          events.map(({ id }) => id),
          [1, 2, 3, 4],
        )
        assert.ok(Buffer.concat(events.map(({ bytes }) => bytes)).equals(stream))
        assert.equal(splitter.hasPartialEvent, false)
      }),
    )
  })

  it('buffers an event until it is complete', () => {
    const splitter = EventSplitter.create()
    assert.equal(splitter.push(Buffer.from('id: 7\r\ndata: half')).length, 0)
    assert.equal(splitter.hasPartialEvent, true)
    assert.equal(splitter.push(Buffer.from('\r\n\r\n'))[0]?.id, 7)
  })
})
