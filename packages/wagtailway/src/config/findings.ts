/** Findings about declarations, collected with their source location and reported together. */

export type FindingRule =
  | 'syntax'
  | 'schema'
  | 'not_granted'
  | 'duplicate'
  | 'unknown_reference'
  | 'not_offered'
  | 'conflicting'
  | 'withdrawn_only'
  | 'still_referenced'

/** An error keeps the document from taking effect; a warning only informs its owner. */
export type Severity = 'error' | 'warning'

export interface SourceLocation {
  /** File or object that holds the document. */
  readonly source: string
  /** Path inside the document, such as `classes[2].allow[0].model`. */
  readonly path: string
  /** One-based line; absent if the source text is not available. */
  readonly line?: number
}

export interface Finding {
  readonly rule: FindingRule
  readonly severity: Severity
  readonly owner: string
  readonly place: SourceLocation
  /** What is wrong and what to do about it. */
  readonly message: string
}

/**
 * Formats a finding on one line.
 *
 * @example
 * formatFinding(finding) // 'gebeta.yaml:12 classes[0].allow[0].model [unknown_reference] ...'
 */
export function formatFinding(finding: Finding): string {
  const { rule, severity, owner, place, message } = finding
  const line = place.line === undefined ? '' : `:${place.line}`
  const label = severity === 'error' ? rule : `${rule}, warning`
  return `${place.source}${line} ${place.path} [${label}] ${message} (owner ${owner})`
}

/** Returns the findings that keep a document from taking effect. */
export function errorsOf(findings: readonly Finding[]): Finding[] {
  return findings.filter(({ severity }) => severity === 'error')
}
