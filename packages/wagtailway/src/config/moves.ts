/** What a change of the configuration does to each class's traffic. */
import { declaredEstimates } from '../route/cascadeArms.js'
import { greedyOnMeans } from '../route/versionBaselines.js'
import { ConfigIndex } from './configIndex.js'
import {
  classKey,
  type EffectiveConfig,
  type EffectiveClass,
  type EffectiveWorkspace,
} from './effective.js'

export type MoveKind =
  | 'class_added'
  | 'class_removed'
  | 'workspace_removed'
  | 'keys_changed'
  | 'versions_changed'
  | 'first_choice_changed'
  | 'services_changed'
  | 'rollout_changed'
  | 'priority_changed'
  | 'share_changed'
  | 'sessions_changed'

/** One way in which the traffic of a class or workspace moves. */
export interface Move {
  readonly kind: MoveKind
  /** Owner of the workspace whose traffic moves. */
  readonly owner: string
  readonly workspace: string
  /** Name of the class; absent if the whole workspace moves. */
  readonly className?: string
  readonly before: string
  readonly after: string
}

const NONE = 'none'

/**
 * Compares two configurations class by class.
 *
 * @example
 * movesBetween(inForce, planned).map(formatMove)
 */
export function movesBetween(before: EffectiveConfig, after: EffectiveConfig): Move[] {
  const old = ConfigIndex.create(0, before)
  const next = ConfigIndex.create(0, after)
  return [...workspaceMoves(before, after), ...classMoves(old, next)]
}

/** Moves of workspaces whose owners are not among those who make the change. */
export function foreignMoves(
  moves: readonly Move[],
  changing: ReadonlySet<string>,
): Move[] {
  return moves.filter(({ owner }) => !changing.has(owner))
}

/**
 * Formats a move on one line.
 *
 * @example
 * formatMove(move) // 'panel/dossier [versions_changed] m@v1 -> m@v1, m@v2 (owner panel-office)'
 */
export function formatMove(move: Move): string {
  const place =
    move.className === undefined
      ? move.workspace
      : classKey(move.workspace, move.className)
  return `${place} [${move.kind}] ${move.before} -> ${move.after} (owner ${move.owner})`
}

function workspaceMoves(before: EffectiveConfig, after: EffectiveConfig): Move[] {
  const next = new Map(after.workspaces.map((w) => [w.name, w]))
  return before.workspaces.flatMap((workspace) => {
    const { name, owner } = workspace
    const at = { owner, workspace: name }
    const other = next.get(name)
    if (!other) {
      return [{ ...at, kind: 'workspace_removed' as const, before: name, after: NONE }]
    }
    return compare(at, [
      ['keys_changed', keysOf(workspace), keysOf(other)],
      ['share_changed', String(workspace.share), String(other.share)],
    ])
  })
}

function keysOf({ keyHashes }: EffectiveWorkspace): string {
  return listed(keyHashes.map((hash) => hash.slice(0, 8)))
}

function classMoves(old: ConfigIndex, next: ConfigIndex): Move[] {
  const before = new Map(old.effective.classes.map((c) => [keyOf(c), c]))
  const after = new Map(next.effective.classes.map((c) => [keyOf(c), c]))
  const keys = [...new Set([...before.keys(), ...after.keys()])].toSorted()
  return keys.flatMap((key) => {
    const was = before.get(key)
    const is = after.get(key)
    if (was && is) return changesOf(old, was, next, is)
    if (is) return [whole('class_added', is, NONE, versionsOf(next, is))]
    return was ? [whole('class_removed', was, versionsOf(old, was), NONE)] : []
  })
}

function whole(kind: MoveKind, cls: EffectiveClass, before: string, after: string): Move {
  return { ...placeOf(cls), kind, before, after }
}

function changesOf(
  old: ConfigIndex,
  was: EffectiveClass,
  next: ConfigIndex,
  is: EffectiveClass,
): Move[] {
  return compare(placeOf(was), [
    ['versions_changed', versionsOf(old, was), versionsOf(next, is)],
    ['first_choice_changed', firstChoice(old, was), firstChoice(next, is)],
    ['rollout_changed', rolloutsOf(old, was), rolloutsOf(next, is)],
    ['services_changed', servicesOf(old, was), servicesOf(next, is)],
    ['priority_changed', String(was.priority), String(is.priority)],
    ['sessions_changed', String(was.sessions), String(is.sessions)],
  ])
}

function compare(
  at: Pick<Move, 'owner' | 'workspace' | 'className'>,
  changes: readonly (readonly [MoveKind, string, string])[],
): Move[] {
  return changes
    .filter(([, before, after]) => before !== after)
    .map(([kind, before, after]) => ({ ...at, kind, before, after }))
}

function placeOf(cls: EffectiveClass): {
  owner: string
  workspace: string
  className: string
} {
  return { owner: cls.owner, workspace: cls.workspace, className: cls.name }
}

function keyOf(cls: EffectiveClass): string {
  return classKey(cls.workspace, cls.name)
}

function versionsOf(index: ConfigIndex, cls: EffectiveClass): string {
  return listed(index.usableVersions(cls).map(({ key }) => key))
}

/** The version that owners' expected qualities alone would choose; ratings may choose otherwise. */
function firstChoice(index: ConfigIndex, cls: EffectiveClass): string {
  const plan = greedyOnMeans({
    cls,
    candidates: index.usableVersions(cls),
    estimate: declaredEstimates,
    hasBackend: () => true,
    random: () => 0,
  })
  return plan?.steps[0]?.key ?? NONE
}

function rolloutsOf(index: ConfigIndex, cls: EffectiveClass): string {
  const models = new Set(cls.allow.map(({ model }) => model))
  const rollouts = index.effective.rollouts.filter(({ model }) => models.has(model))
  return listed(
    rollouts.map((r) => `${r.model} ${r.from} to ${r.to} (${r.exposureBudget} callers)`),
  )
}

function servicesOf(index: ConfigIndex, cls: EffectiveClass): string {
  return listed(
    cls.services.map((name) => {
      const repeatable = index.service(name)?.idempotent === true
      return repeatable ? `${name} (repeatable)` : name
    }),
  )
}

function listed(items: readonly string[]): string {
  return items.length === 0 ? NONE : items.toSorted().join(', ')
}
