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
  const allFindings = [...findings, ...reconcile(documents).findings]
  const summary = `${files.length} files, ${allFindings.length} findings`
  return {
    code: errorsOf(allFindings).length === 0 ? EXIT.ok : EXIT.findings,
    lines: [...allFindings.map(formatFinding), summary],
    data: { files: files.length, findings: allFindings },
  }
}
