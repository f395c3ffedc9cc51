import assert from 'node:assert/strict'
import { it } from 'node:test'
import { parseKnownRed } from '../knownRed.js'

it('finds the scenarios among other entries', () => {
  const text = 'ledger.spec.ts, seed 7: lost\nscenario once-outage: seed 1, two runs\n'
  assert.deepEqual([...parseKnownRed(text)], [['once-outage', 'seed 1, two runs']])
})
