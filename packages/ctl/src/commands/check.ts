/** `wagtailwayctl check`: checks declarations offline. */
import { errorsOf, formatFinding, reconcile } from '@wagtailway/core'
import { EXIT } from '../exitCodes.js'
import { readDocuments } from '../readDocuments.js'
import type { Report } from '../report.js'

/**
 * Reports all findings of all files at once.
 *
 * @example
 * const { code, lines } = await check(['gebeta.yaml'])
 */
export async function check(files: readonly string[]): Promise<Report> {
  const { documents, findings } = await readDocuments(files)
  const all = [...findings, ...reconcile(documents).findings]
  const summary = `${files.length} files, ${all.length} findings`
  return {
    code: errorsOf(all).length === 0 ? EXIT.ok : EXIT.findings,
    lines: [...all.map(formatFinding), summary],
    data: { files: files.length, findings: all },
  }
}
