import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { EMPTY_CONFIG } from '../effective.js'
import { planChange } from '../publish.js'
import { reconcile } from '../reconcile.js'
import type { SourcedDocument } from '../parseDocument.js'
import {
  ALL,
  COOP,
  COOP_TEXT,
  FIRM,
  FIRM_TEXT,
  OFFICE,
  OFFICE_TEXT,
  ROOT,
  ROOT_TEXT,
  parse,
} from './fixtures.js'

const GOOD = reconcile(ALL).effective
const WITHDRAW_V1 = 'withdrawals: [{ model: summariser, version: v1, reason: bad }]\n'

function rulesOf(documents: readonly SourcedDocument[], lastGood = GOOD): string[] {
  const { findings } = reconcile(documents, lastGood)
  return findings.map(
    (f) => `${f.owner} ${f.rule} ${f.place.source}:${f.place.line ?? 0}`,
  )
}

function replace(sourced: SourcedDocument, text: string): SourcedDocument[] {
  const changed = parse(sourced.source, text)
  return ALL.map((other) => (other === sourced ? changed : other))
}

describe('reconcile', () => {
  it('accepts the good documents', () => {
    assert.deepEqual(rulesOf(ALL, EMPTY_CONFIG), [])
  })

  it('blames the owner who removes a version that another owner needs', () => {
    const documents = replace(OFFICE, OFFICE_TEXT.replace(/ +- \{ name: v1.*\n/, ''))
    assert.deepEqual(rulesOf(documents), ['office still_referenced office.yaml:3'])
    assert.deepEqual(reconcile(documents, GOOD).effective, GOOD)
  })

  it('blames the owner who stops offering a service that another owner needs', () => {
    const text = OFFICE_TEXT.replace('name: queue', 'name: queue, offeredTo: [panel]')
    assert.deepEqual(rulesOf(replace(OFFICE, text)), [
      'office still_referenced office.yaml:7',
    ])
  })

  it('lets an owner remove what nobody needs any more', () => {
    const office = parse('office.yaml', OFFICE_TEXT.replace(/ +- \{ name: v1.*\n/, ''))
    const coop = parse('coop.yaml', COOP_TEXT.replace('[v1]', '[v2]'))
    assert.deepEqual(rulesOf([ROOT, office, coop, FIRM]), [])
  })

  it('refuses a class that allows withdrawn versions only', () => {
    const office = parse('office.yaml', OFFICE_TEXT + WITHDRAW_V1)
    const coop = parse('coop.yaml', COOP_TEXT.replace('target: 0.6', 'target: 0.5'))
    assert.deepEqual(rulesOf([ROOT, office, coop, FIRM]), [
      'coop withdrawn_only coop.yaml:6',
    ])
  })

  it('lets an owner change its keys although another owner withdrew its version', () => {
    const office = parse('office.yaml', OFFICE_TEXT + WITHDRAW_V1)
    const coop = parse('coop.yaml', COOP_TEXT.replace('a'.repeat(64), 'c'.repeat(64)))
    const { effective, findings } = reconcile([ROOT, office, coop, FIRM], GOOD)
    assert.deepEqual(
      findings.map(({ severity, rule }) => [severity, rule]),
      [['warning', 'withdrawn_only']],
    )
    assert.deepEqual(effective.workspaces[0]?.keyHashes, ['c'.repeat(64)])
  })

  it('puts a withdrawal into force though the rest of its document is in error', () => {
    const broken = OFFICE_TEXT.replace('name: queue', 'name: other') + WITHDRAW_V1
    const { effective } = reconcile(replace(OFFICE, broken), GOOD)
    assert.deepEqual(
      effective.withdrawals.map(({ version }) => version),
      ['v1'],
    )
    assert.deepEqual(effective.services, GOOD.services)
  })

  it('refuses roll-outs to unknown and to withdrawn versions', () => {
    const unknown =
      'rollouts: [{ model: summariser, from: v1, to: v9, exposureBudget: 5 }]\n'
    const rules = rulesOf(replace(OFFICE, OFFICE_TEXT + unknown))
    assert.deepEqual(rules, ['office unknown_reference office.yaml:8'])
    const withdrawn =
      'rollouts: [{ model: summariser, from: v2, to: v1, exposureBudget: 5 }]\n'
    assert.ok(
      rulesOf(replace(OFFICE, OFFICE_TEXT + withdrawn + WITHDRAW_V1)).includes(
        'office conflicting office.yaml:8',
      ),
    )
  })

  it('refuses names granted to two owners and keeps the last grants', () => {
    const text = `${ROOT_TEXT}  - { owner: rival, workspaces: [kebele] }\n`
    const rival = parse('rival.yaml', COOP_TEXT.replace('owner: coop', 'owner: rival'))
    const documents = [...replace(ROOT, text), rival]
    const { effective, findings } = reconcile(documents, GOOD)
    assert.deepEqual(
      findings.map(({ owner, rule }) => `${owner} ${rule}`),
      ['rival not_granted', 'rival not_granted', 'root conflicting'],
    )
    assert.deepEqual(effective, GOOD)
  })

  it('refuses a second document of an owner, whichever came first', () => {
    const second = parse('second.yaml', COOP_TEXT.replace('[v1]', '[v2]'))
    assert.deepEqual(rulesOf([...ALL, second]), rulesOf([second, ...ALL]))
    assert.deepEqual(reconcile([...ALL, second], GOOD).effective, GOOD)
  })

  it("refuses another workspace's API key; its first holder keeps it", () => {
    const text = FIRM_TEXT.replace('b'.repeat(64), 'a'.repeat(64))
    assert.deepEqual(rulesOf(replace(FIRM, text)), ['firm duplicate firm.yaml:2'])
  })

  it('keeps a workspace of a former owner until the new owner has declared it', () => {
    const root = parse('root.yaml', ROOT_TEXT.replace('owner: coop', 'owner: next'))
    const moved = reconcile([ROOT, OFFICE, COOP, FIRM].with(0, root), GOOD)
    assert.deepEqual(moved.effective.workspaces, GOOD.workspaces)
    const next = parse('next.yaml', COOP_TEXT.replace('owner: coop', 'owner: next'))
    const taken = reconcile([root, OFFICE, COOP, FIRM, next], moved.effective)
    const owners = taken.effective.classes.map(({ owner, name }) => `${owner} ${name}`)
    assert.deepEqual(owners, ['firm dossier', 'next check'])
  })

  it('is no harm if an object holds no declaration', () => {
    const finding = {
      rule: 'schema',
      severity: 'error',
      owner: 'coop',
      place: { source: 'declaration/coop', path: '' },
      message: 'bad',
    } as const
    const { effective } = reconcile([ROOT, OFFICE, FIRM], GOOD, [finding])
    assert.deepEqual(effective, GOOD)
  })
})

/** Variants of each owner's document: good, changed, contradictory, or gone. */
const VARIANTS: readonly (readonly (SourcedDocument | undefined)[])[] = [
  [
    ROOT,
    parse('root.yaml', ROOT_TEXT.replace('owner: coop', 'owner: firm')),
    parse('root.yaml', `${ROOT_TEXT}  - { owner: firm, models: [summariser] }\n`),
    undefined,
  ],
  [
    OFFICE,
    parse('office.yaml', OFFICE_TEXT.replace(/ +- \{ name: v1.*\n/, '')),
    parse('office.yaml', OFFICE_TEXT + WITHDRAW_V1),
    parse('office.yaml', OFFICE_TEXT.replace('name: queue', 'name: other')),
    undefined,
  ],
  [
    COOP,
    parse('coop.yaml', COOP_TEXT.replace('[v1]', '[v2, v9]')),
    parse('coop.yaml', COOP_TEXT.replace('[v1]', '[v2]')),
    undefined,
  ],
  [
    FIRM,
    parse('firm.yaml', FIRM_TEXT.replaceAll('panel', 'kebele')),
    parse('firm.yaml', FIRM_TEXT.replace('b'.repeat(64), 'a'.repeat(64))),
    parse('second.yaml', COOP_TEXT),
    undefined,
  ],
]

const documentSets = fc
  .tuple(...VARIANTS.map((variants) => fc.subarray([...variants], { maxLength: 2 })))
  .map((sets) => sets.flat().filter((document) => document !== undefined))

describe('reconcile, for any set of documents', () => {
  const bases = fc.constantFrom(GOOD, EMPTY_CONFIG)

  it('does not depend on their order', () => {
    const property = fc.property(
      documentSets.chain((set) =>
        fc.tuple(fc.constant(set), fc.shuffledSubarray(set, { minLength: set.length })),
      ),
      bases,
      ([set, shuffled], lastGood) => {
        assert.deepEqual(reconcile(shuffled, lastGood), reconcile(set, lastGood))
      },
    )
    fc.assert(property, { seed: 7, numRuns: 500 })
  })

  it('settles: the result reconciled again stays as it is', () => {
    const property = fc.property(documentSets, bases, (set, lastGood) => {
      const { effective } = reconcile(set, lastGood)
      assert.deepEqual(reconcile(set, effective).effective, effective)
    })
    fc.assert(property, { seed: 7, numRuns: 500 })
  })

  it('leaves no class of a good owner without what it needs', () => {
    const property = fc.property(documentSets, (set) => {
      const others = set.filter(({ document }) => document.owner !== 'coop')
      const root = others.filter(({ document }) => document.owner !== 'root')
      const { effective } = reconcile([ROOT, COOP, ...root], GOOD)
      const versions = effective.models.flatMap((m) => m.versions.map((v) => v.name))
      assert.ok(versions.includes('v1'))
      const check = effective.classes.find(({ name }) => name === 'check')
      assert.deepEqual(check, GOOD.classes[0])
    })
    fc.assert(property, { seed: 7, numRuns: 500 })
  })
})

describe('planChange', () => {
  const stored = { documents: ALL, unreadable: [], revisions: new Map<string, number>() }
  const state = { revision: 3, inForce: GOOD, stored }

  it("shows that a change of one owner moves another owner's class", () => {
    const office = parse(
      'office.yaml',
      OFFICE_TEXT.replace('expectedQuality: 0.7', 'expectedQuality: 0.85'),
    )
    const { moves } = planChange(state, [office])
    assert.deepEqual(moves, [
      {
        kind: 'first_choice_changed',
        owner: 'firm',
        workspace: 'panel',
        className: 'dossier',
        before: 'summariser@v2',
        after: 'summariser@v1',
      },
    ])
  })

  it('shows no move where nothing changes', () => {
    assert.deepEqual(planChange(state, [COOP]).moves, [])
  })
})
