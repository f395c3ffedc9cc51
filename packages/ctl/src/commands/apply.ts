/** `wagtailwayctl apply`: puts declarations into force. */
import { randomUUID } from 'node:crypto'
import {
  formatFinding,
  publish,
  readConfigState,
  storeDeclaration,
  type ObjectStore,
  type SourcedDocument,
} from '@wagtailway/core'
import { EXIT, type ExitCode } from '../exitCodes.js'
import { readDocuments } from '../readDocuments.js'
import { unavailableReport, type Report } from '../report.js'
import { announceRevision, type PrepareAnnouncement } from './announce.js'
import {
  describeError,
  describeMoves,
  ownErrors,
  planOwners,
  type OwnersPlan,
} from './plan.js'

export interface ApplyOptions {
  /** Applies the change even if it moves traffic of other owners' workspaces. */
  readonly acceptMoves?: boolean
  /** Allows the documents to reinstate withdrawn versions, which then get new requests again. */
  readonly reinstate?: boolean
  /** Refuses if an owner's document is newer than this revision. */
  readonly base?: number
  /** Id of this change; to retry a command, pass the id that it printed. */
  readonly changeId?: string
  /** Tells the entry instances of the change once it is stored. */
  readonly prepareAnnouncement?: PrepareAnnouncement
  /** Stores documents even if they have errors; their withdrawals come into force nevertheless. */
  readonly acceptErrors?: boolean
}

/**
 * Applies files and prints the report; returns the exit code.
 *
 * @example
 * const code = await apply(store, ['gebeta.yaml'], console.log)
 */
export async function apply(
  store: ObjectStore,
  files: readonly string[],
  print: (line: string) => void,
  opts: ApplyOptions = {},
): Promise<ExitCode> {
  const report = await applyFiles(store, files, opts)
  for (const line of report.lines) print(line)
  return report.code
}

/** Stores the documents of the files and publishes the result. */
export async function applyFiles(
  store: ObjectStore,
  files: readonly string[],
  opts: ApplyOptions = {},
): Promise<Report> {
  const { documents, findings } = await readDocuments(files)
  if (findings.length > 0) {
    return { code: EXIT.findings, lines: findings.map(formatFinding), data: { findings } }
  }
  return applyDocuments(store, documents, opts)
}

/** Checks the documents against the platform's state, stores and publishes them. */
export async function applyDocuments(
  store: ObjectStore,
  documents: readonly SourcedDocument[],
  opts: ApplyOptions,
): Promise<Report> {
  const state = await readConfigState(store)
  if (state.err) return unavailableReport('nothing written', describeError(state.val))
  const plan = planOwners(state.val, documents)
  const refusal = refusePlan(plan, opts)
  if (refusal) return refusal
  const changeId = opts.changeId ?? randomUUID()
  const announce = await opts.prepareAnnouncement?.()
  const failure = await storeAll(store, documents, plan, changeId)
  if (failure) return failure
  const report = await publishAll(store, plan, changeId)
  return announce ? announceRevision(report, announce) : report
}

function refusePlan(plan: OwnersPlan, opts: ApplyOptions): Report | undefined {
  const errors = ownErrors(plan)
  if (errors.length > 0 && opts.acceptErrors !== true) {
    const lines = [...errors.map(formatFinding), 'nothing written']
    return { code: EXIT.findings, lines, data: { findings: errors } }
  }
  const { base } = opts
  const overtaken = [...plan.owners].filter(
    (owner) => base !== undefined && (plan.state.stored.revisions.get(owner) ?? 0) > base,
  )
  if (overtaken.length > 0) return refuseOvertaken(overtaken)
  if (plan.reinstated.length > 0 && opts.reinstate !== true) {
    return refuseReinstating(plan.reinstated)
  }
  if (plan.foreign.length === 0 || opts.acceptMoves === true) return undefined
  const message =
    'nothing written: the change moves traffic of other owners; agree with them, then use --accept-moves'
  return {
    code: EXIT.refused,
    lines: [...describeMoves(plan), message],
    data: { error: 'moves_others', message, foreignMoves: plan.foreign },
  }
}

function refuseOvertaken(owners: readonly string[], changeId?: string): Report {
  const by = changeId === undefined ? '' : ` by change ${changeId}`
  const message = `the document of ${owners.join(', ')} was changed meanwhile${by}; plan again and apply on top of it`
  const data = { error: 'overtaken', owners, message }
  return { code: EXIT.refused, lines: [message], data }
}

function refuseReinstating(versions: readonly string[]): Report {
  const message = `nothing written: ${versions.join(', ')} would be withdrawn no longer; keep the withdrawal in the document, or use --reinstate`
  const data = { error: 'reinstates', message, versions }
  return { code: EXIT.refused, lines: [message], data }
}

async function storeAll(
  store: ObjectStore,
  documents: readonly SourcedDocument[],
  plan: OwnersPlan,
  changeId: string,
): Promise<Report | undefined> {
  for (const { document } of documents) {
    const baseRevision = plan.state.stored.revisions.get(document.owner) ?? 0
    const stored = await storeDeclaration(store, { document, changeId, baseRevision })
    if (stored.ok) continue
    if (stored.val.type === 'overtaken') {
      return refuseOvertaken([document.owner], stored.val.changeId)
    }
    const retryHint = `retry with --change-id ${changeId}`
    return unavailableReport(
      `${document.owner} not stored, ${retryHint}`,
      stored.val.message,
    )
  }
  return undefined
}

async function publishAll(
  store: ObjectStore,
  plan: OwnersPlan,
  changeId: string,
): Promise<Report> {
  const published = await publish(store)
  if (published.err) {
    const retryHint = `retry with --change-id ${changeId}`
    return unavailableReport(
      `stored, not in force, ${retryHint}`,
      describeError(published.val),
    )
  }
  const { revision, findings } = published.val
  const rejected = ownErrors({ ...plan, findings })
  const outcome =
    rejected.length === 0 ? 'in force' : 'in force except for these findings'
  return {
    code: rejected.length === 0 ? EXIT.ok : EXIT.findings,
    lines: [
      ...findings.map(formatFinding),
      ...describeMoves(plan),
      `${outcome} at revision ${revision} (change ${changeId})`,
    ],
    data: { revision, changeId, findings, moves: plan.moves },
  }
}
