/** `wagtailwayctl check`: checks declarations offline. */
import { formatFinding, reconcile } from '@wagtailway/core'
import { readDocuments } from '../readDocuments.js'

/** Prints all findings; returns the exit code. */
export async function check(
  files: readonly string[],
  print: (line: string) => void,
): Promise<number> {
  const { documents, findings } = await readDocuments(files)
  const all = [...findings, ...reconcile(documents).findings]
  for (const finding of all) print(formatFinding(finding))
  print(`${files.length} files, ${all.length} findings`)
  return all.length === 0 ? 0 : 1
}
