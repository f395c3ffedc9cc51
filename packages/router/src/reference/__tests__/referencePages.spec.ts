import assert from 'node:assert/strict'
import { readFile } from 'node:fs/promises'
import { describe, it } from 'node:test'
import { REFUSAL_STATUS } from '@wagtailway/core'
import { RouterMetrics } from '../../metrics.js'
import { ROUTER_SETTINGS } from '../../options.js'
import { referencePages } from '../referencePages.js'
import { REFUSAL_HELP } from '../refusalHelp.js'
import { DOCS_URL } from '../writePages.js'

describe('the reference pages', () => {
  it('match what the code generates (if not, run npm run docs)', async () => {
    for (const [name, text] of await referencePages()) {
      assert.equal(await readFile(new URL(name, DOCS_URL), 'utf8'), text, name)
    }
  })

  it('explain every refusal reason and no other (refusalHelp.ts)', () => {
    assert.deepEqual(
      Object.keys(REFUSAL_HELP).toSorted(),
      Object.keys(REFUSAL_STATUS).toSorted(),
    )
  })

  it('describe every setting and metric', async () => {
    for (const { name, description } of ROUTER_SETTINGS) {
      assert.notEqual(description, '', name)
    }
    for (const {
      name,
      help,
    } of await RouterMetrics.create().registry.getMetricsAsJSON()) {
      assert.notEqual(help, '', name)
    }
  })
})
