/** Reads declaration files and collects every finding. */
import { readFile } from 'node:fs/promises'
import { parseDocument, type Finding, type SourcedDocument } from '@wagtailway/core'

export interface ReadDocuments {
  readonly documents: readonly SourcedDocument[]
  readonly findings: readonly Finding[]
}

/** Parses every file; a bad file doesn't hide the findings of the others. */
export async function readDocuments(files: readonly string[]): Promise<ReadDocuments> {
  const documents: SourcedDocument[] = []
  const findings: Finding[] = []
  for (const file of files) {
    const parsed = parseDocument(file, await readFile(file, 'utf8'))
    if (parsed.ok) documents.push(parsed.val)
    else findings.push(...parsed.val)
  }
  return { documents, findings }
}
