/** Checks of billing records against responses and runs. */
import { checkBilling } from './billing.js'
import type { CheckResult, Evidence } from './evidence.js'

/**
 * Every complete response has exactly one billing record, no request has two, and each
 * billed call ran at the backend server and on the version that the record names.
 *
 * @param unbilledAtMost How many complete responses may lack a record because every
 *   process that held the record was killed.
 */
export function billedExactlyOnce(
  { sent, runs, billed }: Evidence,
  unbilledAtMost = 0,
): CheckResult {
  const answered = sent
    .filter((s) => s.end === 'whole' && s.versionKey !== '')
    .map(({ requestId }) => requestId)
  const { unbilled, duplicated: doubled } = checkBilling(answered, billed)
  const runKeys = new Set(
    runs.map((run) => `${run.requestId} ${run.backend} ${run.versionKey}`),
  )
  const billedWithoutRun = billed.flatMap(({ requestId, calls }) =>
    calls
      .filter((call) => !runKeys.has(`${requestId} ${call.backend} ${call.versionKey}`))
      .map((call) => `${requestId} is billed for ${call.backend}, where it did not run`),
  )
  const refusedIds = new Set(
    sent.filter(({ ran }) => ran === 'not_run').map(({ requestId }) => requestId),
  )
  return {
    checked: answered.length,
    violations: [
      ...(unbilled.length > unbilledAtMost
        ? unbilled.map((id) => `${id} was answered and not billed`)
        : []),
      ...doubled.map((id) => `${id} is billed more than once`),
      ...billedWithoutRun,
      ...billed
        .filter(({ requestId }) => refusedIds.has(requestId))
        .map(({ requestId }) => `${requestId} was refused as not run and billed`),
    ],
  }
}
