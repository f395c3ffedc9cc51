import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { parseDocument, type SourcedDocument } from '../parseDocument.js'
import { reconcile } from '../reconcile.js'

function parse(source: string, text: string): SourcedDocument {
  const parsed = parseDocument(source, text)
  if (parsed.err) throw new Error(JSON.stringify(parsed.val))
  return parsed.val
}

const ROOT = parse(
  'root.yaml',
  `owner: root
grants:
  - { owner: office, models: [summariser] }
  - { owner: coop, workspaces: [kebele] }
`,
)
const OFFICE = parse(
  'office.yaml',
  `owner: office
models:
  - { name: summariser, versions: [{ name: v1, promptPrice: 1, completionPrice: 2 }] }
`,
)
const COOP = `owner: coop
workspaces: [{ name: kebele, keyHashes: [] }]
classes:
  - workspace: kebele
    name: dossier
    allow: [{ model: summariser }]
    quality: { target: 0.8 }
    latency: { firstTokenMs: 1000 }
`

describe('reconcile', () => {
  it('does not depend on the order of the documents', () => {
    const documents = [ROOT, OFFICE, parse('coop.yaml', COOP)]
    assert.deepEqual(reconcile(documents), reconcile(documents.toReversed()))
    assert.equal(reconcile(documents).findings.length, 0)
  })

  it('rejects a document that declares a workspace of another owner', () => {
    const rival = parse('rival.yaml', COOP.replace('owner: coop', 'owner: rival'))
    const { effective, findings } = reconcile([ROOT, OFFICE, rival])
    assert.deepEqual(
      findings.map(({ rule, owner, place }) => ({ rule, owner, line: place.line })),
      [
        { rule: 'not_granted', owner: 'rival', line: 2 },
        { rule: 'not_granted', owner: 'rival', line: 4 },
      ],
    )
    assert.equal(effective.classes.length, 0)
  })

  it('keeps the last accepted declarations of an owner whose new document has errors', () => {
    const good = reconcile([ROOT, OFFICE, parse('coop.yaml', COOP)]).effective
    const bad = parse('coop.yaml', COOP.replace('model: summariser', 'model: other'))
    const { effective, findings } = reconcile([ROOT, OFFICE, bad], good)
    assert.equal(findings[0]?.rule, 'unknown_reference')
    assert.deepEqual(effective.classes, good.classes)
  })
})

describe('parseDocument', () => {
  it('reports all findings with their lines', () => {
    const parsed = parseDocument(
      'bad.yaml',
      'owner: coop\nmodels:\n  - name: UP\nfoo: 1\n',
    )
    assert.ok(parsed.err)
    assert.deepEqual(
      parsed.val.map(({ place }) => place.line),
      [3, 3, 1],
    )
  })
})
