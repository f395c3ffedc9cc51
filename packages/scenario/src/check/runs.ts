/** Checks of runs at backend servers against what callers were told. */
import { groupBy, type CheckResult, type Evidence } from './evidence.js'

/** A request that was refused as not run has no run. */
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
    const isAll = notRun.length === copies.length && copies.length > 0
    if (isAll && runDigests.has(digest) && !notRun.some((s) => runIds.has(s.requestId))) {
      violations.push(
        `every copy of ${copies[0]?.id ?? ''} was refused as not run but it ran`,
      )
    }
  }
  return { checked: sent.length, violations }
}

/** A non-idempotent request ran at most once, however often its caller sent it. */
export function nonIdempotentAtMostOnce({ sent, runs }: Evidence): CheckResult {
  const guarded = groupBy(
    sent.filter(({ nonIdempotent }) => nonIdempotent),
    (s) => s.digest,
  )
  const violations: string[] = []
  for (const [digest, copies] of guarded) {
    const own = runs.filter((run) => run.digest === digest)
    if (own.length > 1) {
      const places = own.map(({ backend }) => backend).join(', ')
      violations.push(`${copies[0]?.id ?? ''} ran ${own.length} times (${places})`)
    }
  }
  return { checked: guarded.size, violations }
}

/** A leaving backend server started nothing later than `afterMs` after it was listed so. */
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
