import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { resolveConfig } from '../options.js'

describe('resolveConfig', () => {
  it('reports every invalid setting at once', () => {
    const resolved = resolveConfig({
      node: '',
      platform: 'nowhere',
      sessionKeys: ['short'],
    })
    assert.ok(resolved.err)
    assert.deepEqual(
      resolved.val.map(({ setting }) => setting),
      ['node', 'zone', 'platform', 'sessionKeys.0'],
    )
  })
})
