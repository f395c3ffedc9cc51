/** Checks of the versions on which completions ran. */
import { ConfigIndex } from '@wagtailway/core'
import { groupBy, type CheckResult, type Evidence, type StartedRun } from './evidence.js'

/** Every completion ran on a version that its class allowed within the last `afterMs`. */
export function allowedVersionsOnly(evidence: Evidence, afterMs: number): CheckResult {
  return checkRuns(evidence, afterMs, (index, classKey, versionKey) => {
    const [workspace = '', name = ''] = classKey.split('/')
    const cls = index.class(workspace, name)
    return (
      cls !== undefined &&
      index.allowedVersions(cls).some(({ key }) => key === versionKey)
    )
  })
}

/** No completion started on a version later than `afterMs` after its withdrawal. */
export function withdrawnStartsNothing(evidence: Evidence, afterMs: number): CheckResult {
  const withdrawn = new Set(
    evidence.configs.flatMap(({ effective }) =>
      effective.withdrawals.map((w) => `${w.model}@${w.version}`),
    ),
  )
  const { checked, violations } = checkRuns(
    evidence,
    afterMs,
    (index, _classKey, versionKey) => !index.isWithdrawn(versionKey),
  )
  return { checked: withdrawn.size === 0 ? 0 : checked, violations }
}

/** All requests of one session ran on one version. */
export function sessionOnOneVersion({ sent, runs }: Evidence): CheckResult {
  const inSessions = sent.filter(({ session }) => session !== undefined)
  const sessions = groupBy(inSessions, (s) => `${s.classKey}/${s.session ?? ''}`)
  const violations: string[] = []
  for (const [session, requests] of sessions) {
    const digests = new Set(requests.map(({ digest }) => digest))
    const sessionRuns = runs.filter(({ digest }) => digests.has(digest))
    const versions = new Set(sessionRuns.map(({ versionKey }) => versionKey))
    if (versions.size > 1) {
      violations.push(`session ${session} ran on ${[...versions].join(' and ')}`)
    }
  }
  return { checked: sessions.size, violations }
}

type PermitsVersion = (
  index: ConfigIndex,
  classKey: string,
  versionKey: string,
) => boolean

/**
 * Checks each completion against the configurations that were the newest at some time
 * within the last `afterMs`; one of them must permit the version.
 */
function checkRuns(
  evidence: Evidence,
  afterMs: number,
  permitsVersion: PermitsVersion,
): CheckResult {
  const classes = new Map(evidence.sent.map((s) => [s.digest, s.classKey]))
  const completions = evidence.runs.filter(({ isService }) => !isService)
  const indexes = evidence.configs.map((config) => ({
    atMs: config.atMs,
    index: ConfigIndex.create(config.revision, config.effective),
  }))
  const violations = completions.flatMap((run) => {
    const classKey = classes.get(run.digest)
    if (classKey === undefined) return [`${describeRun(run)} was sent by no caller`]
    const recentIndexes = indexes.filter(({ atMs }, i) => {
      const replacedAtMs = indexes[i + 1]?.atMs ?? Infinity
      return atMs <= run.atMs && replacedAtMs + afterMs >= run.atMs
    })
    const isPermitted = recentIndexes.some(({ index }) =>
      permitsVersion(index, classKey, run.versionKey),
    )
    return isPermitted ? [] : [`${describeRun(run)} for ${classKey} was not permitted`]
  })
  return { checked: completions.length, violations }
}

function describeRun(run: StartedRun): string {
  return `request ${run.requestId} at ${run.backend} on ${run.versionKey}`
}
