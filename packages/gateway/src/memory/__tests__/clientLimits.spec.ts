import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ClientLimits } from '../clientLimits.js'

const MB = 1_048_576

/** Header fields of a request, names and values in turn. */
function fields(count: number, valueBytes: number): string[] {
  return Array.from({ length: count }, () => ['name', 'x'.repeat(valueBytes)]).flat()
}

function limits(heapMb: number, fileLimit?: number): ClientLimits {
  return ClientLimits.create({
    memoryBytes: 350 * MB,
    heapBytes: heapMb * MB,
    fileLimit,
  })
}

/** Takes room for heads until there is none; returns their number. */
function holdAll(clientLimits: ClientLimits, head: readonly string[]): number {
  let count = 0
  while (clientLimits.tryHoldHead(head)) count += 1
  return count
}

// Guards against: heads of requests that are each within the limits fill the heap together.
describe('heads of requests', () => {
  it('leave half of their room to ordinary requests', () => {
    const clientLimits = limits(120)
    assert.ok(holdAll(clientLimits, fields(100, 100)) > 400)
    assert.ok(clientLimits.headsBytes <= clientLimits.maxHeadsBytes / 2)
    assert.ok(holdAll(clientLimits, fields(20, 100)) > 2_000)
    assert.ok(clientLimits.headsBytes <= clientLimits.maxHeadsBytes)
  })

  it('give their room back once', () => {
    const clientLimits = limits(120)
    const release = clientLimits.tryHoldHead(fields(20, 100))
    clientLimits.tryHoldHead(fields(20, 100))
    const bothBytes = clientLimits.headsBytes
    release?.()
    release?.()
    assert.equal(clientLimits.headsBytes, bothBytes / 2)
  })

  it('have room for a request at the limits of the configuration in a small process', () => {
    assert.ok(holdAll(limits(48), fields(16, 1_000)) > 50)
  })
})

// Guards against: connections of callers take the descriptors that connections to servers need.
describe('the number of connections', () => {
  it('is bounded by the descriptors and by the heap', () => {
    assert.equal(limits(120, 4_100).maxConnections, 2_400)
    assert.equal(limits(120, 4_100).maxSmallConnections, 300)
    assert.equal(limits(120).maxConnections, 2_816)
    assert.equal(limits(48, 700).maxConnections, 360)
  })
})
