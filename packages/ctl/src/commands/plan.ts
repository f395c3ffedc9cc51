/** `wagtailwayctl plan`: whose traffic a change would move; nothing is written. */
import {
  errorsOf,
  foreignMoves,
  formatFinding,
  formatMove,
  planChange,
  readConfigState,
  type Move,
  type ObjectStore,
  type Plan,
  type SourcedDocument,
} from '@wagtailway/core'
import { EXIT } from '../exitCodes.js'
import { readDocuments } from '../readDocuments.js'
import { unavailableReport, type Report } from '../report.js'

/** A plan and the owners who make the change. */
export interface OwnersPlan extends Plan {
  readonly owners: ReadonlySet<string>
  /** Moves of workspaces that belong to other owners. */
  readonly foreign: readonly Move[]
}

/** Plans a change that replaces the owners' stored documents by these. */
export function planOwners(
  state: Plan['state'],
  documents: readonly SourcedDocument[],
): OwnersPlan {
  const owners = new Set(documents.map(({ document }) => document.owner))
  const plan = planChange(state, documents)
  return { ...plan, owners, foreign: foreignMoves(plan.moves, owners) }
}

/**
 * Reports what applying the files would do.
 *
 * @example
 * const { code, lines } = await plan(store, ['gebeta.yaml'])
 */
export async function plan(
  store: ObjectStore,
  files: readonly string[],
): Promise<Report> {
  const { documents, findings } = await readDocuments(files)
  if (findings.length > 0) {
    return { code: EXIT.findings, lines: findings.map(formatFinding), data: { findings } }
  }
  const state = await readConfigState(store)
  if (state.err) return unavailableReport('not planned', describeError(state.val))
  const planned = planOwners(state.val, documents)
  const base = baseRevision(planned)
  return {
    code: ownErrors(planned).length === 0 ? EXIT.ok : EXIT.findings,
    lines: [
      ...planned.findings.map(formatFinding),
      ...describeMoves(planned),
      `planned for revision ${base}; to apply exactly this: wagtailwayctl apply --base ${base}`,
    ],
    data: {
      findings: planned.findings,
      moves: planned.moves,
      foreignMoves: planned.foreign,
      reinstated: planned.reinstated,
      base,
    },
  }
}

/** Returns the errors in the documents of the change itself. */
export function ownErrors({ findings, owners }: OwnersPlan): Plan['findings'] {
  return errorsOf(findings).filter(({ owner }) => owners.has(owner))
}

/** Newest revision of the configuration or of a declaration on which the plan is based. */
export function baseRevision({ state }: Plan): number {
  return Math.max(state.revision, 0, ...state.stored.revisions.values())
}

/**
 * Describes the moves, with those of other owners marked. If versions are reinstated, it lists
 * these first and marks no moves.
 */
export function describeMoves({ moves, foreign, reinstated }: OwnersPlan): string[] {
  const reinstatedLines = reinstated.map((key) => `${key} is withdrawn no longer`)
  if (reinstatedLines.length > 0) return [...reinstatedLines, ...moves.map(formatMove)]
  if (moves.length === 0) return ['no traffic moves']
  const others = new Set(foreign)
  return moves.map((move) => `${others.has(move) ? 'OTHERS ' : ''}${formatMove(move)}`)
}

/** Describes why the platform's state can't be used. */
export function describeError(err: { type: string; message?: string }): string {
  return err.message ?? err.type
}
