/** Formats the verdicts of a scenario. */
import { groupBy } from '../check/evidence.js'
import { endName } from '../check/responses.js'
import { hasPassed, type ScenarioReport, type Verdict } from './runScenario.js'

/** Maximum number of violations shown for each outcome. */
const MAX_VIOLATIONS_SHOWN = 5

/**
 * Formats a summary line, followed by one line per verdict and its violations.
 *
 * @example
 * process.stdout.write(formatReport(report))
 */
export function formatReport(report: ScenarioReport): string {
  const { name, seed, evidence, verdicts } = report
  const endCounts = [...groupBy(evidence.sent, endName)]
    .map(([end, group]) => `${group.length} ${end}`)
    .join(', ')
  const counts = `sent ${evidence.sent.length} (${endCounts}), ran ${evidence.runs.length}, billed ${evidence.billed.length}`
  return [
    `${hasPassed(report) ? 'PASS' : 'FAIL'} ${name} (seed ${seed}): ${counts}`,
    ...verdicts.flatMap(formatVerdict),
    '',
  ].join('\n')
}

function formatVerdict({ text, passed, result }: Verdict): string[] {
  const label = passed ? 'ok  ' : 'FAIL'
  const emptyNote = result.checked === 0 ? ['there was nothing to check'] : []
  const problems = [...emptyNote, ...result.violations]
  const omittedNote =
    problems.length > MAX_VIOLATIONS_SHOWN
      ? [`and ${problems.length - MAX_VIOLATIONS_SHOWN} more`]
      : []
  return [
    `  ${label} ${text} (${result.checked} checked)`,
    ...[...problems.slice(0, MAX_VIOLATIONS_SHOWN), ...omittedNote].map(
      (line) => `       ${line}`,
    ),
  ]
}
