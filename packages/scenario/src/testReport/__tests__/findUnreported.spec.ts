import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { findUnreported, type TestEvent } from '../findUnreported.js'

const BUILT = '/repo/packages/a/dist/__tests__/a.spec.js'
const SOURCE = '/repo/packages/a/src/__tests__/a.spec.ts'

function event(type: string, name: string, file: string, nesting = 0): TestEvent {
  return { type: `test:${type}`, data: { name, file, nesting } }
}

describe('findUnreported', () => {
  it('knows a file whose results name its source', () => {
    const { fileCount, resultCount, missing } = findUnreported([
      event('enqueue', BUILT, BUILT),
      event('enqueue', 'sends', SOURCE),
      event('pass', 'sends', SOURCE),
    ])
    assert.deepEqual([fileCount, resultCount, missing], [1, 1, []])
  })

  it('names files without a result, and tests that were begun and have none', () => {
    const { missing } = findUnreported([
      event('enqueue', BUILT, BUILT),
      event('enqueue', '/repo/b.spec.js', '/repo/b.spec.js'),
      event('enqueue', 'sends', SOURCE),
      event('enqueue', 'sends', SOURCE),
      event('enqueue', 'sends', SOURCE, 1),
      event('fail', 'sends', SOURCE),
      event('fail', 'sends', SOURCE, 1),
    ])
    assert.deepEqual(missing, ['/repo/b.spec.js: no result', `${SOURCE}: sends`])
  })
})
