import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { EMPTY_CONFIG, effectiveConfigSchema } from '../../config/effective.js'
import { fromItems, toItems } from '../configItems.js'
import { applyDelta, ItemHistory } from '../itemHistory.js'

const owner = 'root'

const EFFECTIVE = effectiveConfigSchema.parse({
  ...EMPTY_CONFIG,
  grants: [
    { owner: 'a', workspaces: ['w'] },
    { owner: 'b', models: ['m'] },
  ],
  workspaces: [{ name: 'w', keyHashes: [], owner }],
  withdrawals: [
    { model: 'm', version: 'v1', reason: 'bad', owner },
    { model: 'm', version: 'v1', reason: 'bad too', owner: 'b' },
  ],
})

describe('configuration items', () => {
  it('give back every section of the configuration', () => {
    assert.deepEqual(fromItems(toItems(EFFECTIVE)), EFFECTIVE)
    const sections = Object.keys(fromItems(new Map()))
    assert.deepEqual(sections, Object.keys(effectiveConfigSchema.shape))
  })

  it('make a delta of what changed and removed', () => {
    const history = ItemHistory.create(2)
    const before = toItems(EFFECTIVE)
    history.put(1, before)
    const after = toItems({ ...EFFECTIVE, grants: [], workspaces: [] })
    history.put(2, after)
    const delta = history.deltaFrom(1)
    assert.equal(delta.whole, false)
    assert.deepEqual(delta.changed, [])
    assert.equal(delta.removed.length, 3)
    assert.deepEqual(applyDelta(before, delta), after)
    assert.equal(applyDelta(new Map(), delta), undefined)
  })
})
