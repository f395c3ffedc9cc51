import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { reportIntervalMs, reportScope, repeatedNewsMs } from '../reportSchedule.js'

describe('repeatedNewsMs', () => {
  for (const receivers of [7, 74, 194, 429]) {
    it(`reaches an instance of another zone, with ${receivers} receivers`, () => {
      const intervalMs = reportIntervalMs(receivers)
      const sentAtMs = Array.from({ length: 60 }, (_, i) => i + 1)
        .filter((number) => reportScope(receivers, number) === 'all')
        .map((number) => number * intervalMs)
      for (let newsAtMs = 0; newsAtMs < 30 * intervalMs; newsAtMs += intervalMs / 7) {
        const isReported = sentAtMs.some(
          (atMs) => atMs >= newsAtMs && atMs - newsAtMs < repeatedNewsMs(receivers),
        )
        assert.ok(isReported, `news at ${newsAtMs} ms`)
      }
    })
  }
})
