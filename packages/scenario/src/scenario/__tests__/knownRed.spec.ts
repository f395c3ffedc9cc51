import assert from 'node:assert/strict'
import { it } from 'node:test'
import { parseKnownRed } from '../knownRed.js'

it('returns only the scenario entries of the file', () => {
  const text = 'ledger.spec.ts, seed 7: lost\nscenario once-outage: seed 1, two runs\n'
  assert.deepEqual([...parseKnownRed(text)], [['once-outage', 'seed 1, two runs']])
})
