/** Checks of runs at backend servers against what callers sent and received. */
import { groupBy, type CheckResult, type Evidence } from './evidence.js'

/** A request that was refused as `not_run` did not run at any backend server. */
export function notRunIsTrue({ sent, runs }: Evidence): CheckResult {
  const runIds = new Set(runs.map(({ requestId }) => requestId))
  const runDigests = new Set(runs.map(({ digest }) => digest))
  const violations: string[] = []
  for (const [digest, copies] of groupBy(sent, (s) => s.digest)) {
    const notRun = copies.filter(({ ran }) => ran === 'not_run')
    for (const { id, requestId, reason } of notRun) {
      if (requestId !== '' && runIds.has(requestId)) {
        violations.push(`${id} was refused as not run (${reason}) but ran`)
      }
    }
    const areAllNotRun = notRun.length === copies.length && copies.length > 0
    if (
      areAllNotRun &&
      runDigests.has(digest) &&
      !notRun.some((s) => runIds.has(s.requestId))
    ) {
      violations.push(
        `every copy of ${copies[0]?.id ?? ''} was refused as not run but it ran`,
      )
    }
  }
  return { checked: sent.length, violations }
}

/** A non-idempotent request ran at most once, however often its caller sent it. */
export function nonIdempotentAtMostOnce({ sent, runs }: Evidence): CheckResult {
  const requestsByDigest = groupBy(
    sent.filter(({ nonIdempotent }) => nonIdempotent),
    (s) => s.digest,
  )
  const violations: string[] = []
  for (const [digest, copies] of requestsByDigest) {
    const ownRuns = runs.filter((run) => run.digest === digest)
    if (ownRuns.length > 1) {
      const backends = ownRuns.map(({ backend }) => backend).join(', ')
      violations.push(`${copies[0]?.id ?? ''} ran ${ownRuns.length} times (${backends})`)
    }
  }
  return { checked: requestsByDigest.size, violations }
}

/**
 * A backend server started no request later than `afterMs` after it was listed as
 * leaving or removed from the list.
 */
export function leavingServerGetsNothing(
  { runs, leavings }: Evidence,
  afterMs: number,
): CheckResult {
  const violations = leavings.flatMap(({ part, atMs }) =>
    runs
      .filter((run) => run.backend === part && run.atMs > atMs + afterMs)
      .map(
        (run) => `${part} started ${run.requestId} ${run.atMs - atMs} ms after it left`,
      ),
  )
  return { checked: leavings.length, violations }
}
