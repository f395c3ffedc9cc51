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
    const text = await readText(file)
    if (text === undefined) {
      findings.push(unreadableFinding(file))
      continue
    }
    const parsed = parseDocument(file, text)
    if (parsed.ok) documents.push(parsed.val)
    else findings.push(...parsed.val)
  }
  return { documents, findings }
}

async function readText(file: string): Promise<string | undefined> {
  try {
    return await readFile(file, 'utf8')
  } catch {
    return undefined
  }
}

function unreadableFinding(file: string): Finding {
  const place = { source: file, path: '' }
  const message = 'the file cannot be read; check its name and permissions'
  return { rule: 'syntax', severity: 'error', owner: 'unknown', place, message }
}
