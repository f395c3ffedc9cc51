import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { NO_EVIDENCE, type CheckResult, type Evidence } from '../evidence.js'
import { OUTCOME_NAMES, outcomeSchema } from '../outcomes.js'
import { acceptedConfig, sentRequest, startedRun } from './samples.js'

type Stated = string | Record<string, object>

interface Case {
  readonly stated: Stated
  /** Evidence for which the outcome holds. */
  readonly kept: Partial<Evidence>
  /** Evidence that violates the outcome, by a description of the violation. */
  readonly broken: Readonly<Record<string, Partial<Evidence>>>
}

function withoutOwner(item: object): object {
  return Object.fromEntries(Object.entries(item).filter(([key]) => key !== 'owner'))
}

const record = {
  requestId: 'r1',
  workspace: 'panel',
  classKey: 'panel/dossier',
  calls: [
    {
      versionKey: 'summariser@small',
      backend: 'e1',
      promptTokens: 1,
      completionTokens: 1,
    },
  ],
  costMicros: 1,
  atMs: 1_040,
}

const bothAllowed = acceptedConfig(1, 0, ['small', 'large'])
const stop = { part: 'n1', atMs: 900 }
const sample = { router: 'n1', atMs: 20_000, revision: 2, isReady: true }
const sessions = [
  sentRequest({ session: 's1' }),
  sentRequest({ session: 's1', digest: 'd2', id: 'q2' }),
]
const guarded = sentRequest({ nonIdempotent: true })
const refusal = sentRequest({
  end: 'refused',
  status: 503,
  reason: 'overloaded',
  ran: 'not_run',
  retryAfterMs: 100,
})
const document = {
  owner: 'panel-office',
  workspaces: [{ name: 'panel', keyHashes: [], share: 1 }],
  models: bothAllowed.effective.models.map(withoutOwner),
  services: [],
  classes: bothAllowed.effective.classes.map(withoutOwner),
  withdrawals: [],
}
const change = { owner: 'panel-office', document, accepted: true }

const CASES: readonly Case[] = [
  {
    stated: 'allowed-versions-only',
    kept: { sent: [sentRequest()], runs: [startedRun()], configs: [bothAllowed] },
    broken: {
      'a version that was never allowed': {
        sent: [sentRequest()],
        runs: [startedRun()],
        configs: [acceptedConfig(1, 0, ['large'])],
      },
      'a version no longer allowed for 14 s': {
        sent: [sentRequest()],
        runs: [startedRun({ atMs: 15_000 })],
        configs: [bothAllowed, acceptedConfig(2, 1_000, ['large'])],
      },
      'a run without a request': { runs: [startedRun()], configs: [bothAllowed] },
    },
  },
  {
    stated: { 'withdrawn-starts-nothing': { after: '2s' } },
    kept: {
      sent: [sentRequest()],
      runs: [startedRun({ atMs: 2_900 })],
      configs: [bothAllowed, acceptedConfig(2, 1_000, ['small'], ['small'])],
    },
    broken: {
      'a start after the allowed time': {
        sent: [sentRequest()],
        runs: [startedRun({ atMs: 3_100 })],
        configs: [bothAllowed, acceptedConfig(2, 1_000, ['small'], ['small'])],
      },
    },
  },
  {
    stated: 'session-on-one-version',
    kept: { sent: sessions, runs: [startedRun(), startedRun({ digest: 'd2' })] },
    broken: {
      'a second version': {
        sent: sessions,
        runs: [
          startedRun(),
          startedRun({ digest: 'd2', versionKey: 'summariser@large' }),
        ],
      },
    },
  },
  {
    stated: 'billed-exactly-once',
    kept: { sent: [sentRequest()], runs: [startedRun()], billed: [record] },
    broken: {
      'no record': { sent: [sentRequest()], runs: [startedRun()] },
      'two records': {
        sent: [sentRequest()],
        runs: [startedRun()],
        billed: [record, record],
      },
      'a billed call at another backend server': {
        sent: [sentRequest()],
        runs: [startedRun({ backend: 'e2' })],
        billed: [record],
      },
      'a billed request that was refused as not run': {
        sent: [sentRequest({ requestId: 'r2' }), { ...refusal, requestId: 'r1' }],
        runs: [startedRun()],
        billed: [record, { ...record, requestId: 'r2', calls: [] }],
      },
    },
  },
  {
    stated: 'whole-answers',
    kept: { sent: [sentRequest(), sentRequest({ end: 'broken' })] },
    broken: { 'a wrong response': { sent: [sentRequest({ end: 'wrong' })] } },
  },
  {
    stated: 'not-run-is-true',
    kept: { sent: [refusal] },
    broken: {
      'a run of that request id': { sent: [refusal], runs: [startedRun()] },
      'a run of a refusal without an id': {
        sent: [{ ...refusal, requestId: '' }],
        runs: [startedRun({ requestId: 'r9' })],
      },
    },
  },
  {
    stated: 'non-idempotent-at-most-once',
    kept: { sent: [guarded, guarded], runs: [startedRun()] },
    broken: {
      'two runs': {
        sent: [guarded, guarded],
        runs: [startedRun(), startedRun({ requestId: 'r2', backend: 'e2' })],
      },
    },
  },
  {
    stated: { 'leaving-server-gets-nothing': { after: '1s' } },
    kept: {
      leavings: [{ part: 'e1', atMs: 500 }],
      runs: [startedRun(), startedRun({ backend: 'e2', atMs: 9_000 })],
    },
    broken: {
      'a start after the allowed time': {
        leavings: [{ part: 'e1', atMs: 500 }],
        runs: [startedRun({ atMs: 1_600 })],
      },
    },
  },
  {
    stated: 'drain-cuts-nothing',
    kept: { sent: [sentRequest()], stops: [stop], exits: [stop] },
    broken: {
      'a broken request': {
        sent: [sentRequest({ end: 'broken' })],
        stops: [stop],
        exits: [stop],
      },
      'a router that never exits': { sent: [sentRequest()], stops: [stop] },
    },
  },
  {
    stated: { 'config-in-force-everywhere': { within: '13s' } },
    kept: {
      configs: [bothAllowed, acceptedConfig(2, 1_000, ['small'])],
      samples: [{ ...sample, atMs: 13_900, revision: 1 }, sample],
    },
    broken: {
      'a ready router with an older configuration': {
        configs: [bothAllowed, acceptedConfig(2, 1_000, ['small'])],
        samples: [sample, { ...sample, atMs: 14_100, revision: 1 }],
      },
      'the newest configuration at no router': {
        configs: [bothAllowed, acceptedConfig(3, 19_000, ['small'])],
        samples: [sample],
      },
    },
  },
  {
    stated: 'config-never-reverts',
    kept: { samples: [{ ...sample, revision: 1 }, sample] },
    broken: { 'an older revision': { samples: [sample, { ...sample, revision: 1 }] } },
  },
  {
    stated: 'accepted-changes-stand',
    kept: { changes: [change], configs: [bothAllowed] },
    broken: {
      'a change that is not in force': {
        changes: [change],
        configs: [bothAllowed, acceptedConfig(2, 1_000, ['small'])],
      },
    },
  },
  {
    stated: { 'answered-share': { atLeast: 1 } },
    kept: { sent: [sentRequest({ end: 'broken' }), sentRequest()] },
    broken: {
      'a request without a response': {
        sent: [sentRequest(), sentRequest({ id: 'q2', end: 'broken' })],
      },
    },
  },
  {
    stated: { 'ends-only': { names: ['whole', 'overloaded'] } },
    kept: { sent: [sentRequest(), refusal] },
    broken: { 'an end that is not allowed': { sent: [sentRequest({ end: 'hung' })] } },
  },
  {
    stated: { 'ends-seen': { name: 'overloaded' } },
    kept: { sent: [refusal] },
    broken: { 'no request that ended so': { sent: [sentRequest()] } },
  },
  {
    stated: { 'ends-within': { within: '1s' } },
    kept: { sent: [sentRequest()] },
    broken: {
      'a slow request': { sent: [sentRequest({ endedAtMs: 2_001 })] },
      'a hung request': { sent: [sentRequest({ end: 'hung' })] },
    },
  },
  {
    stated: { 'exits-within': { within: '1s' } },
    kept: { stops: [stop], exits: [{ part: 'n1', atMs: 1_000 }] },
    broken: {
      'a late exit': { stops: [stop], exits: [{ part: 'n1', atMs: 2_000 }] },
      'no exit': { stops: [stop] },
    },
  },
  {
    stated: 'refusals-typed',
    kept: { sent: [refusal] },
    broken: {
      'no reason': { sent: [{ ...refusal, reason: '' }] },
      'no time after which to retry': { sent: [{ ...refusal, retryAfterMs: undefined }] },
    },
  },
]

function checkOutcome(stated: Stated, evidence: Partial<Evidence>): CheckResult {
  return outcomeSchema.parse(stated).check({ ...NO_EVIDENCE, ...evidence })
}

describe('outcomes', () => {
  it('all have a test case', () => {
    const tested = CASES.map(({ stated }) =>
      typeof stated === 'string' ? stated : Object.keys(stated)[0],
    )
    assert.deepEqual(tested.toSorted(), OUTCOME_NAMES.toSorted())
  })

  for (const { stated, kept, broken } of CASES) {
    const name = typeof stated === 'string' ? stated : JSON.stringify(stated)

    it(`${name} holds`, () => {
      const { checked, violations } = checkOutcome(stated, kept)
      assert.deepEqual(violations, [])
      assert.ok(checked > 0)
    })

    for (const [what, evidence] of Object.entries(broken)) {
      it(`${name} detects ${what}`, () => {
        const { checked, violations } = checkOutcome(stated, evidence)
        assert.ok(violations.length > 0 || checked === 0)
      })
    }

    it(`${name} checks no items in an empty run`, () => {
      assert.equal(checkOutcome(stated, {}).checked, 0)
    })
  }

  it('billed-exactly-once allows unbilledAtMost responses without a record', () => {
    const evidence = { sent: [sentRequest()], runs: [startedRun()] }
    const oneUnbilled = { 'billed-exactly-once': { unbilledAtMost: 1 } }
    assert.deepEqual(checkOutcome(oneUnbilled, evidence).violations, [])
  })
})
