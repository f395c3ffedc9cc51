/** Text of a report on thrown faults. */
import type { PlaceResult, ThrowReport } from './throwTrial.js'

/**
 * Formats a report: the verdict, the findings, and the places with throws as a table in
 * Markdown.
 *
 * @example
 * console.log(formatReport(await runThrowTrial(options)))
 */
export function formatReport(report: ThrowReport): string {
  const { findings, answered, calls, throws, places } = report
  const verdict = findings.length === 0 ? 'kept' : 'BROKEN'
  const thrown = places.filter((place) => place.throws > 0)
  const unreached = places.filter(({ calls }) => calls === 0)
  const left = places.length - thrown.length - unreached.length
  return [
    `${verdict}; ${answered} of ${calls} answered; ${throws} throws at ${thrown.length} places, ${left} without one, ${unreached.length} never called`,
    ...findings,
    '',
    '| place | calls | throws | lost | failed | ends |',
    '| ----- | ----- | ------ | ---- | ------ | ---- |',
    ...thrown.map(formatPlace),
    '',
    ...unreached.map(({ place }) => `never called: ${place}`),
  ].join('\n')
}

function formatPlace(result: PlaceResult): string {
  const { place, calls, throws, moments, lost, failed, ends } = result
  const thrown = `${throws} (${[...new Set(moments)].sort().join(', ')})`
  return `| ${place} | ${calls} | ${thrown} | ${lost} | ${failed} | ${ends} |`
}
