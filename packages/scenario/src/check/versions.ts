/** Checks of versions: allowed, withdrawn, kept by sessions. */
import { ConfigIndex } from '@wagtailway/core'
import { groupBy, type CheckResult, type Evidence, type StartedRun } from './evidence.js'

/** Every completion ran on a version that its class allowed at most `afterMs` before. */
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

/** No completion started on a version that was withdrawn more than `afterMs` before. */
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
    const own = runs.filter(({ digest }) => digests.has(digest))
    const versions = new Set(own.map(({ versionKey }) => versionKey))
    if (versions.size > 1) {
      violations.push(`session ${session} ran on ${[...versions].join(' and ')}`)
    }
  }
  return { checked: sessions.size, violations }
}

type Permits = (index: ConfigIndex, classKey: string, versionKey: string) => boolean

/** Checks each run against the configurations that were the newest shortly before. */
function checkRuns(evidence: Evidence, afterMs: number, permits: Permits): CheckResult {
  const classes = new Map(evidence.sent.map((s) => [s.digest, s.classKey]))
  const completions = evidence.runs.filter(({ isService }) => !isService)
  const indexes = evidence.configs.map((config) => ({
    atMs: config.atMs,
    index: ConfigIndex.create(config.revision, config.effective),
  }))
  const violations = completions.flatMap((run) => {
    const classKey = classes.get(run.digest)
    if (classKey === undefined) return [`${where(run)} was sent by no caller`]
    const recent = indexes.filter(({ atMs }, i) => {
      const replacedAtMs = indexes[i + 1]?.atMs ?? Infinity
      return atMs <= run.atMs && replacedAtMs + afterMs >= run.atMs
    })
    const permitted = recent.some(({ index }) => permits(index, classKey, run.versionKey))
    return permitted ? [] : [`${where(run)} for ${classKey} was not permitted`]
  })
  return { checked: completions.length, violations }
}

function where(run: StartedRun): string {
  return `request ${run.requestId} at ${run.backend} on ${run.versionKey}`
}
