/** Creates findings with the location of a path in a document. */
import type { Finding, FindingRule, Severity } from './findings.js'
import { formatPath, type SourcedDocument } from './parseDocument.js'

/**
 * Creates a finding about a path of a document.
 *
 * @example
 * createFinding(sourced, 'duplicate', ['models', 0, 'name'], '"a" is declared twice')
 */
export function createFinding(
  sourced: SourcedDocument,
  rule: FindingRule,
  path: readonly PropertyKey[],
  message: string,
  severity: Severity = 'error',
): Finding {
  const line = sourced.lineOf(path)
  const location = { source: sourced.source, path: formatPath(path) }
  const place = line === undefined ? location : { ...location, line }
  return { rule, severity, owner: sourced.document.owner, place, message }
}
