import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { VirtualClock } from '@wagtailway/core'
import { EXIT } from '../../exitCodes.js'
import type { Report } from '../../report.js'
import { awaitAcceptance, type RevisionHolders } from '../acceptance.js'

const STORED: Report = { code: EXIT.ok, lines: ['in force'], data: { revision: 7 } }

function wait(report: Report, counts: (RevisionHolders | undefined)[]): Promise<Report> {
  const clock = VirtualClock.create()
  return awaitAcceptance(report, {
    countHolders: () => Promise.resolve(counts.length > 1 ? counts.shift() : counts[0]),
    clock: clock.now,
    pause: (ms) => {
      clock.advance(ms)
      return Promise.resolve()
    },
    timeoutMs: 1_000,
  })
}

describe('awaitAcceptance', () => {
  it('waits until half of the listed instances hold the revision', async () => {
    const report = await wait(STORED, [
      undefined,
      { held: 3, listed: 8 },
      { held: 4, listed: 8 },
    ])
    assert.equal(report.code, EXIT.ok)
    assert.equal(report.lines.at(-1), 'accepted: held by 4 of 8 entry instances')
  })

  it('reports that a change is only stored if fewer instances hold it in time', async () => {
    const report = await wait(STORED, [{ held: 3, listed: 8 }])
    assert.equal(report.code, EXIT.incomplete)
    assert.match(report.lines.at(-1) ?? '', /^stored only: held by 3 of 8/)
  })

  it('returns the report of a change that was not stored unchanged', async () => {
    const refused: Report = { code: EXIT.refused, lines: ['nothing written'], data: {} }
    assert.equal(await wait(refused, [{ held: 8, listed: 8 }]), refused)
  })
})
