/** `wagtailwayctl apply`: puts declarations into force. */
import {
  formatFinding,
  publish,
  storeDeclaration,
  type ObjectStore,
} from '@wagtailway/core'
import { readDocuments } from '../readDocuments.js'

/** Stores the documents and publishes the result; returns the exit code. */
export async function apply(
  store: ObjectStore,
  files: readonly string[],
  print: (line: string) => void,
): Promise<number> {
  const { documents, findings } = await readDocuments(files)
  for (const finding of findings) print(formatFinding(finding))
  if (findings.length > 0) return 1
  for (const document of documents) {
    const stored = await storeDeclaration(store, document)
    if (stored.err) {
      print(`${document.source}: not stored: ${stored.val.type}`)
      return 1
    }
  }
  const published = await publish(store)
  if (published.err) {
    print(`stored, but not in force: ${published.val.type}`)
    return 1
  }
  for (const finding of published.val.findings) print(formatFinding(finding))
  print(`in force at revision ${published.val.revision}`)
  return published.val.findings.length === 0 ? 0 : 1
}
