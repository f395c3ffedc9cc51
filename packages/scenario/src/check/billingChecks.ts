/** Checks of billing records against answers and runs. */
import { checkBilling } from './billing.js'
import type { CheckResult, Evidence } from './evidence.js'

/**
 * Every whole answer has exactly one record, no request has two, and nothing
 * is billed that did not run there.
 *
 * @param unbilledAtMost Whole answers that may lack a record, where all who
 *   knew it were killed.
 */
export function billedExactlyOnce(
  { sent, runs, billed }: Evidence,
  unbilledAtMost = 0,
): CheckResult {
  const answered = sent
    .filter((s) => s.end === 'whole' && s.versionKey !== '')
    .map(({ requestId }) => requestId)
  const { unbilled, duplicated: doubled } = checkBilling(answered, billed)
  const places = new Set(
    runs.map((run) => `${run.requestId} ${run.backend} ${run.versionKey}`),
  )
  const foreign = billed.flatMap(({ requestId, calls }) =>
    calls
      .filter((call) => !places.has(`${requestId} ${call.backend} ${call.versionKey}`))
      .map((call) => `${requestId} is billed for ${call.backend}, where it did not run`),
  )
  const refused = new Set(
    sent.filter(({ ran }) => ran === 'not_run').map(({ requestId }) => requestId),
  )
  return {
    checked: answered.length,
    violations: [
      ...(unbilled.length > unbilledAtMost
        ? unbilled.map((id) => `${id} was answered and not billed`)
        : []),
      ...doubled.map((id) => `${id} is billed more than once`),
      ...foreign,
      ...billed
        .filter(({ requestId }) => refused.has(requestId))
        .map(({ requestId }) => `${requestId} was refused as not run and billed`),
    ],
  }
}
