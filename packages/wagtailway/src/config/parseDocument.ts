/** Reads a declaration document from YAML text. */
import { LineCounter, isNode, parseDocument as parseYaml, type Document } from 'yaml'
import { Err, Ok, type Result } from '../result.js'
import type { Finding } from './findings.js'
import { documentSchema, type DeclarationDocument } from './schema.js'

/** A parsed document with a lookup of the source line of a path. */
export interface SourcedDocument {
  readonly source: string
  readonly document: DeclarationDocument
  /**
   * Returns the one-based line of a path such as `['classes', 0, 'allow']` or of its
   * nearest existing parent; undefined if the source text is not available.
   */
  readonly lineOf: (path: readonly PropertyKey[]) => number | undefined
}

/**
 * Parses YAML and validates it against the schema; returns all findings at once.
 *
 * @example
 * const parsed = parseDocument('gebeta.yaml', text)
 * if (parsed.err) parsed.val.map(formatFinding)
 */
export function parseDocument(
  source: string,
  text: string,
): Result<SourcedDocument, Finding[]> {
  const lines = new LineCounter()
  const yaml = parseYaml(text, { lineCounter: lines })
  if (yaml.errors.length > 0) {
    return Err(yaml.errors.map((err) => syntaxFinding(source, err)))
  }
  const lineOf = createLineLookup(yaml, lines)
  const value: unknown = yaml.toJS()
  const parsed = documentSchema.safeParse(value)
  if (parsed.success) return Ok({ source, document: parsed.data, lineOf })
  const owner = ownerOf(value)
  return Err(
    parsed.error.issues.map((issue): Finding => {
      const line = lineOf(issue.path)
      const path = formatPath(issue.path)
      const place = line === undefined ? { source, path } : { source, path, line }
      return { rule: 'schema', severity: 'error', owner, place, message: issue.message }
    }),
  )
}

/**
 * Formats a path into a document.
 *
 * @example
 * formatPath(['classes', 0, 'name']) // 'classes[0].name'
 */
export function formatPath(path: readonly PropertyKey[]): string {
  return path
    .map((part, i) =>
      typeof part === 'number' ? `[${part}]` : `${i > 0 ? '.' : ''}${String(part)}`,
    )
    .join('')
}

function syntaxFinding(
  source: string,
  err: { message: string; linePos?: [{ line: number }, ...unknown[]] | undefined },
): Finding {
  const line = err.linePos?.[0].line
  const place = line === undefined ? { source, path: '' } : { source, path: '', line }
  const message = err.message.split('\n')[0] ?? err.message
  return { rule: 'syntax', severity: 'error', owner: 'unknown', place, message }
}

function createLineLookup(
  yaml: Document,
  lines: LineCounter,
): (path: readonly PropertyKey[]) => number | undefined {
  return (path) => {
    for (let depth = path.length; depth >= 0; depth--) {
      const node = yaml.getIn(path.slice(0, depth), true)
      if (isNode(node) && node.range) return lines.linePos(node.range[0]).line
    }
    return undefined
  }
}

function ownerOf(value: unknown): string {
  if (typeof value !== 'object' || value === null) return 'unknown'
  const owner = (value as { owner?: unknown }).owner
  return typeof owner === 'string' ? owner : 'unknown'
}
