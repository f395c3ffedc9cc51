import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { fitSlopes, measureFleet, type SlopePoint } from '../slopes.js'

const POINT: SlopePoint = {
  nodes: 0,
  replicas: 0,
  bytesPerSecond: 0,
  mostBytesPerSecond: 0,
  messagesPerSecond: 0,
  cpuMsPerSecond: 0,
  heapKb: 0,
  platformCallsPerSecond: 0,
}

describe('slopes', () => {
  it('recover a linear relation and extrapolate it', () => {
    const points = [8, 16, 32].map((nodes) => ({
      ...POINT,
      nodes,
      bytesPerSecond: 3 * nodes + 5,
    }))
    const [linear] = fitSlopes(points, (p) => p.bytesPerSecond, 430)
    assert.ok(linear)
    assert.ok(Math.abs(linear.predicted - 1_295) < 1e-6)
    assert.ok(linear.residual < 1e-6)
  })

  it('keep control traffic and platform calls of a small fleet within the budget', () => {
    const point = measureFleet({
      nodes: 24,
      replicas: 100,
      seed: 1,
      replacements: 1,
      changes: 1,
      outage: false,
      seconds: 10,
      warmUpSeconds: 15,
    })
    assert.ok(point.bytesPerSecond > 0)
    assert.ok(point.mostBytesPerSecond < 3_000)
    assert.ok(point.platformCallsPerSecond < 24 * 4)
  })
})
