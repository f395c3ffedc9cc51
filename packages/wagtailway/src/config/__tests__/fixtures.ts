/** Documents of owners who share a model, for the tests in this folder. */
import { parseDocument, type SourcedDocument } from '../parseDocument.js'

export function parse(source: string, text: string): SourcedDocument {
  const parsed = parseDocument(source, text)
  if (parsed.err) throw new Error(JSON.stringify(parsed.val))
  return parsed.val
}

export const ROOT_TEXT = `owner: root
grants:
  - { owner: office, models: [summariser], services: [queue] }
  - { owner: coop, workspaces: [kebele] }
  - { owner: firm, workspaces: [panel] }
`

export const OFFICE_TEXT = `owner: office
models:
  - name: summariser
    versions:
      - { name: v1, promptPrice: 1, completionPrice: 2, expectedQuality: 0.7 }
      - { name: v2, promptPrice: 2, completionPrice: 4, expectedQuality: 0.9 }
services: [{ name: queue }]
`

export const COOP_TEXT = `owner: coop
workspaces: [{ name: kebele, keyHashes: [${'a'.repeat(64)}] }]
classes:
  - workspace: kebele
    name: check
    allow: [{ model: summariser, versions: [v1] }]
    services: [queue]
    quality: { target: 0.6 }
    latency: { firstTokenMs: 1000 }
`

export const FIRM_TEXT = `owner: firm
workspaces: [{ name: panel, keyHashes: [${'b'.repeat(64)}] }]
classes:
  - workspace: panel
    name: dossier
    allow: [{ model: summariser }]
    quality: { target: 0.8 }
    latency: { firstTokenMs: 1000 }
`

export const ROOT = parse('root.yaml', ROOT_TEXT)
export const OFFICE = parse('office.yaml', OFFICE_TEXT)
export const COOP = parse('coop.yaml', COOP_TEXT)
export const FIRM = parse('firm.yaml', FIRM_TEXT)
export const ALL = [ROOT, OFFICE, COOP, FIRM]
