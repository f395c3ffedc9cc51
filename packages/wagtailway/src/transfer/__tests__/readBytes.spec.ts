import assert from 'node:assert/strict'
import { PassThrough, Readable } from 'node:stream'
import { describe, it } from 'node:test'
import { VirtualClock } from '../../clock.js'
import { readBlocks, readBytes, type ByteBudget } from '../readBytes.js'

/** A stream without end, in chunks of one size. */
function endless(chunkBytes: number): Readable {
  return new Readable({
    read() {
      this.push(Buffer.alloc(chunkBytes))
    },
  })
}

class TestBudget implements ByteBudget {
  reservedBytes = 0
  peakBytes = 0

  constructor(private readonly maxBytes: number) {}

  tryReserve(bytes: number): boolean {
    if (this.reservedBytes + bytes > this.maxBytes) return false
    this.reservedBytes += bytes
    this.peakBytes = Math.max(this.peakBytes, this.reservedBytes)
    return true
  }

  release(bytes: number): void {
    this.reservedBytes -= bytes
  }
}

const clock = VirtualClock.create().now

describe('readBytes', () => {
  it('returns a whole body and releases its memory', async () => {
    const budget = new TestBudget(100_000)
    const stream = Readable.from([Buffer.from('who'), Buffer.from('le')])
    const result = await readBytes(stream, { maxBytes: 5, budget })
    assert.equal(result.type === 'complete' && result.bytes.toString(), 'whole')
    assert.ok(budget.peakBytes > 0)
    assert.equal(budget.reservedBytes, 0)
  })

  it('destroys a stream that is longer than allowed', async () => {
    const stream = endless(1_000)
    const result = await readBytes(stream, { maxBytes: 2_500, clock })
    assert.deepEqual(result, { type: 'too_long', byteCount: 2_000 })
    assert.equal(stream.destroyed, true)
  })

  it('destroys a stream in too many small chunks long before its limit', async () => {
    const budget = new TestBudget(1_000_000)
    const stream = endless(1)
    const result = await readBytes(stream, { maxBytes: 1_000_000, budget, clock })
    assert.equal(result.type, 'too_fragmented')
    assert.equal(stream.destroyed, true)
    assert.ok(budget.peakBytes < 20_000, `${budget.peakBytes} bytes held`)
    assert.equal(budget.reservedBytes, 0)
  })

  it('destroys a stream for which there is no memory', async () => {
    const stream = endless(1_000)
    const budget = new TestBudget(10_000)
    const result = await readBytes(stream, { maxBytes: 1_000_000, budget, clock })
    assert.equal(result.type, 'no_memory')
    assert.equal(budget.reservedBytes, 0)
    assert.equal(stream.destroyed, true)
  })

  it('leaves a stream open if told so, and keeps nothing of what still comes', async () => {
    const stream = new PassThrough()
    const reading = readBytes(stream, { maxBytes: 2, keepOpen: true })
    stream.write('long')
    assert.equal((await reading).type, 'too_long')
    for (let i = 0; i < 100; i += 1) stream.write(Buffer.alloc(10_000))
    await new Promise((resolve) => setImmediate(resolve))
    assert.equal(stream.destroyed, false)
    assert.equal(stream.readableLength, 0)
  })

  it('tells a stream that was closed before its end, also before it is read', async () => {
    const stream = new PassThrough()
    const reading = readBytes(stream, { maxBytes: 10 })
    stream.write('ha')
    await new Promise((resolve) => setImmediate(resolve))
    stream.destroy(new Error('reset'))
    assert.deepEqual(await reading, { type: 'closed', byteCount: 2 })
    const again = await readBytes(stream, { maxBytes: 10 })
    assert.deepEqual(again, { type: 'closed', byteCount: 0 })
  })
})

describe('readBlocks', () => {
  it('keeps a body of exact size once, reserved before its first byte and until released', async () => {
    const budget = new TestBudget(200_000)
    const stream = new PassThrough()
    const read = readBlocks(stream, {
      maxBytes: 200_000,
      sizeHint: 150_000,
      isSizeExact: true,
      budget,
      keepReserved: true,
    })
    assert.equal(budget.reservedBytes, 150_000)
    for (let i = 0; i < 150; i += 1) stream.write(Buffer.alloc(1_000, i))
    stream.end()
    const result = await read
    assert.equal(result.type === 'complete' && result.blocks.length, 1)
    assert.equal(result.type === 'complete' && result.blocks[0]?.length, 150_000)
    assert.equal(result.type === 'complete' && result.blocks[0]?.[149_999], 149)
    assert.equal(budget.peakBytes, 150_000)
    assert.equal(budget.reservedBytes, 150_000)
  })

  it('reads nothing of a body of exact size for which there is no memory', async () => {
    const budget = new TestBudget(100_000)
    const stream = new PassThrough()
    const opts = { maxBytes: 200_000, sizeHint: 150_000, isSizeExact: true, budget }
    const result = await readBlocks(stream, { ...opts, keepOpen: true })
    assert.deepEqual(result, { type: 'no_memory', byteCount: 0 })
    assert.equal(budget.reservedBytes, 0)
    assert.equal(stream.destroyed, false)
  })

  it('does not copy a body of unknown size once more at its end', async () => {
    const budget = new TestBudget(2_000_000)
    const chunks = Array.from({ length: 40 }, (_, i) => Buffer.alloc(20_000, i))
    const result = await readBlocks(Readable.from(chunks), {
      maxBytes: 1_000_000,
      budget,
      keepReserved: true,
    })
    assert.ok(result.type === 'complete')
    assert.ok(result.blocks.length > 1)
    assert.ok(Buffer.concat(result.blocks).equals(Buffer.concat(chunks)))
    assert.ok(budget.peakBytes <= 800_000 + 65_536, `${budget.peakBytes} bytes held`)
    assert.equal(budget.reservedBytes, budget.peakBytes)
  })
})
