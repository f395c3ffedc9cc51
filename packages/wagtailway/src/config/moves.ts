/** Shows how a change of the configuration affects the traffic of each class. */
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

/** One effect of a configuration change on the traffic of a class or workspace. */
export interface Move {
  readonly kind: MoveKind
  /** Owner of the affected class or workspace. */
  readonly owner: string
  readonly workspace: string
  /** Name of the class; absent if the whole workspace is affected. */
  readonly className?: string
  readonly before: string
  readonly after: string
}

const NONE = 'none'

/**
 * Compares two configurations by workspace and by class.
 *
 * @example
 * movesBetween(inForce, planned).map(formatMove)
 */
export function movesBetween(before: EffectiveConfig, after: EffectiveConfig): Move[] {
  const oldIndex = ConfigIndex.create(0, before)
  const newIndex = ConfigIndex.create(0, after)
  return [...workspaceMoves(before, after), ...classMoves(oldIndex, newIndex)]
}

/** Returns the moves that affect owners who don't take part in the change. */
export function foreignMoves(
  moves: readonly Move[],
  changingOwners: ReadonlySet<string>,
): Move[] {
  return moves.filter(({ owner }) => !changingOwners.has(owner))
}

/**
 * Formats a move on one line.
 *
 * @example
 * formatMove(move) // 'panel/dossier [versions_changed] m@v1 -> m@v1, m@v2 (owner panel-office)'
 */
export function formatMove(move: Move): string {
  const target =
    move.className === undefined
      ? move.workspace
      : classKey(move.workspace, move.className)
  return `${target} [${move.kind}] ${move.before} -> ${move.after} (owner ${move.owner})`
}

function workspaceMoves(before: EffectiveConfig, after: EffectiveConfig): Move[] {
  const afterByName = new Map(after.workspaces.map((w) => [w.name, w]))
  return before.workspaces.flatMap((workspace) => {
    const { name, owner } = workspace
    const subject = { owner, workspace: name }
    const afterWorkspace = afterByName.get(name)
    if (!afterWorkspace) {
      return [
        { ...subject, kind: 'workspace_removed' as const, before: name, after: NONE },
      ]
    }
    return movesOfChangedValues(subject, [
      ['keys_changed', describeKeys(workspace), describeKeys(afterWorkspace)],
      ['share_changed', String(workspace.share), String(afterWorkspace.share)],
    ])
  })
}

function describeKeys({ keyHashes }: EffectiveWorkspace): string {
  return joinSorted(keyHashes.map((hash) => hash.slice(0, 8)))
}

function classMoves(oldIndex: ConfigIndex, newIndex: ConfigIndex): Move[] {
  const before = new Map(oldIndex.effective.classes.map((c) => [keyOfClass(c), c]))
  const after = new Map(newIndex.effective.classes.map((c) => [keyOfClass(c), c]))
  const keys = [...new Set([...before.keys(), ...after.keys()])].toSorted()
  return keys.flatMap((key) => {
    const prev = before.get(key)
    const next = after.get(key)
    if (prev && next) return changesOf(oldIndex, prev, newIndex, next)
    if (next) return [classMove('class_added', next, NONE, versionsOf(newIndex, next))]
    return prev
      ? [classMove('class_removed', prev, versionsOf(oldIndex, prev), NONE)]
      : []
  })
}

function classMove(
  kind: MoveKind,
  cls: EffectiveClass,
  before: string,
  after: string,
): Move {
  return { ...subjectOf(cls), kind, before, after }
}

function changesOf(
  oldIndex: ConfigIndex,
  prev: EffectiveClass,
  newIndex: ConfigIndex,
  next: EffectiveClass,
): Move[] {
  return movesOfChangedValues(subjectOf(prev), [
    ['versions_changed', versionsOf(oldIndex, prev), versionsOf(newIndex, next)],
    ['first_choice_changed', firstChoice(oldIndex, prev), firstChoice(newIndex, next)],
    ['rollout_changed', rolloutsOf(oldIndex, prev), rolloutsOf(newIndex, next)],
    ['services_changed', servicesOf(oldIndex, prev), servicesOf(newIndex, next)],
    ['priority_changed', String(prev.priority), String(next.priority)],
    ['sessions_changed', String(prev.sessions), String(next.sessions)],
  ])
}

function movesOfChangedValues(
  subject: Pick<Move, 'owner' | 'workspace' | 'className'>,
  values: readonly (readonly [MoveKind, string, string])[],
): Move[] {
  return values
    .filter(([, before, after]) => before !== after)
    .map(([kind, before, after]) => ({ ...subject, kind, before, after }))
}

function subjectOf(cls: EffectiveClass): {
  owner: string
  workspace: string
  className: string
} {
  return { owner: cls.owner, workspace: cls.workspace, className: cls.name }
}

function keyOfClass(cls: EffectiveClass): string {
  return classKey(cls.workspace, cls.name)
}

function versionsOf(index: ConfigIndex, cls: EffectiveClass): string {
  return joinSorted(index.usableVersions(cls).map(({ key }) => key))
}

/**
 * The version selected first if only the owners' expected qualities are considered;
 * ratings may lead to another one.
 */
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
  return joinSorted(
    rollouts.map((r) => `${r.model} ${r.from} to ${r.to} (${r.exposureBudget} callers)`),
  )
}

function servicesOf(index: ConfigIndex, cls: EffectiveClass): string {
  return joinSorted(
    cls.services.map((name) => {
      const isIdempotent = index.service(name)?.idempotent === true
      return isIdempotent ? `${name} (repeatable)` : name
    }),
  )
}

function joinSorted(items: readonly string[]): string {
  return items.length === 0 ? NONE : items.toSorted().join(', ')
}
