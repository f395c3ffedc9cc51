/** Parses scenario files; reports all findings at once, each with its line. */
import { Err, Ok, type Result } from '@wagtailway/core'
import { LineCounter, isNode, parseDocument, type Document } from 'yaml'
import { checkReferences } from './checkReferences.js'
import { scenarioSchema, type Scenario } from './schema.js'

/** An error in a scenario file, with its location. */
export interface ScenarioFinding {
  readonly source: string
  readonly line: number | undefined
  readonly path: string
  readonly message: string
}

/** A problem at a path in the document, before its line is looked up. */
export interface Problem {
  readonly path: readonly PropertyKey[]
  readonly message: string
}

/**
 * Parses a scenario and validates its schema and references.
 *
 * @example
 * const parsed = parseScenario('kill.yaml', text)
 * if (parsed.err) parsed.val.map(formatScenarioFinding)
 */
export function parseScenario(
  source: string,
  text: string,
): Result<Scenario, ScenarioFinding[]> {
  const lines = new LineCounter()
  const yaml = parseDocument(text, { lineCounter: lines })
  if (yaml.errors.length > 0) {
    return Err(
      yaml.errors.map((err) => ({
        source,
        line: err.linePos?.[0].line,
        path: '',
        message: err.message.split('\n')[0] ?? err.message,
      })),
    )
  }
  const toFinding = ({ path, message }: Problem): ScenarioFinding => ({
    source,
    line: lineOf(yaml, lines, path),
    path: path.map(String).join('.'),
    message,
  })
  const validated = scenarioSchema.safeParse(yaml.toJS())
  if (!validated.success) return Err(validated.error.issues.map(toFinding))
  const problems = checkReferences(validated.data)
  return problems.length > 0 ? Err(problems.map(toFinding)) : Ok(validated.data)
}

/**
 * Formats a finding as `FILE:LINE: PATH: MESSAGE`.
 *
 * @example
 * formatScenarioFinding(finding) // 'kill.yaml:7: faults.0.kill: no part "n9"'
 */
export function formatScenarioFinding(finding: ScenarioFinding): string {
  const line = finding.line === undefined ? '' : `:${finding.line}`
  const path = finding.path === '' ? '' : ` ${finding.path}:`
  return `${finding.source}${line}:${path} ${finding.message}`
}

/** Line of the deepest node along the path that exists in the file. */
function lineOf(
  yaml: Document,
  lines: LineCounter,
  path: readonly PropertyKey[],
): number | undefined {
  for (let depth = path.length; depth >= 0; depth--) {
    const node = yaml.getIn(path.slice(0, depth), true)
    if (isNode(node) && node.range) return lines.linePos(node.range[0]).line
  }
  return undefined
}
