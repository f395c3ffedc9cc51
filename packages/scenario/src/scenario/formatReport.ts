/** Text of a scenario's verdicts. */
import { groupBy } from '../check/evidence.js'
import { endName } from '../check/responses.js'
import { hasPassed, type ScenarioReport, type Verdict } from './runScenario.js'

/** Violations shown of each outcome. */
const SHOWN = 5

/**
 * One line a verdict, after a line on the whole.
 *
 * @example
 * process.stdout.write(formatReport(report))
 */
export function formatReport(report: ScenarioReport): string {
  const { name, seed, evidence, verdicts } = report
  const ends = [...groupBy(evidence.sent, endName)]
    .map(([end, group]) => `${group.length} ${end}`)
    .join(', ')
  const counts = `sent ${evidence.sent.length} (${ends}), ran ${evidence.runs.length}, billed ${evidence.billed.length}`
  return [
    `${hasPassed(report) ? 'PASS' : 'FAIL'} ${name} (seed ${seed}): ${counts}`,
    ...verdicts.flatMap(formatVerdict),
    '',
  ].join('\n')
}

function formatVerdict({ text, passed, result }: Verdict): string[] {
  const state = passed ? 'ok  ' : 'FAIL'
  const none = result.checked === 0 ? ['there was nothing to check'] : []
  const all = [...none, ...result.violations]
  const more = all.length > SHOWN ? [`and ${all.length - SHOWN} more`] : []
  return [
    `  ${state} ${text} (${result.checked} checked)`,
    ...[...all.slice(0, SHOWN), ...more].map((line) => `       ${line}`),
  ]
}
