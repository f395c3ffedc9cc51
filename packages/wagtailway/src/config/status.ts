/** What each owner is told about its declaration, as `status` objects. */
import { z } from 'zod'
import type { ObjectStore } from '../platform/objectStore.js'
import type { Finding } from './findings.js'
import type { Move } from './moves.js'
import type { Plan } from './publish.js'

/** Moves that an owner's status keeps. */
const KEPT_MOVES = 50

const findingSchema = z.object({
  rule: z.string(),
  severity: z.enum(['error', 'warning']),
  owner: z.string(),
  place: z.object({ source: z.string(), path: z.string(), line: z.number().optional() }),
  message: z.string(),
})

const movedSchema = z.object({
  /** Revision of the configuration that moved the traffic. */
  revision: z.number(),
  kind: z.string(),
  owner: z.string(),
  workspace: z.string(),
  className: z.string().optional(),
  before: z.string(),
  after: z.string(),
})

export const ownerStatusSchema = z.object({
  owner: z.string(),
  /** Revision of the configuration that the findings are about. */
  revision: z.number(),
  /** Whether the owner's newest document is in force, not what it last had. */
  accepted: z.boolean(),
  findings: z.array(findingSchema),
  /** How traffic of the owner's workspaces moved lately, newest first. */
  moved: z.array(movedSchema),
})

export type OwnerStatus = z.infer<typeof ownerStatusSchema>

/**
 * Writes the status of every owner that the plan concerns. The configuration is in
 * force whether or not this succeeds; the next publication makes up for it.
 */
export async function writeStatus(
  store: ObjectStore,
  plan: Plan,
  revision: number,
): Promise<void> {
  const listed = await store.list('status', '')
  if (listed.err) return
  const old = new Map(listed.val.objects.map((object) => [object.name, object]))
  for (const owner of ownersOf(plan)) {
    const object = old.get(owner)
    const before = ownerStatusSchema.safeParse(object?.value).data
    if (before && before.revision > revision) continue
    const status = statusOf(owner, plan, revision, before)
    if (before && isSame(before, status)) continue
    await store.put('status', owner, status, object?.revision ?? 0)
  }
}

function ownersOf({ state, findings, moves }: Plan): string[] {
  const owners = [
    ...state.stored.revisions.keys(),
    ...findings.map(({ owner }) => owner),
    ...moves.map(({ owner }) => owner),
  ]
  return [...new Set(owners)].toSorted()
}

function statusOf(
  owner: string,
  { findings, moves }: Plan,
  revision: number,
  before: OwnerStatus | undefined,
): OwnerStatus {
  const own = findings.filter((finding: Finding) => finding.owner === owner)
  const moved = moves
    .filter((move: Move) => move.owner === owner)
    .map((move) => ({ ...move, revision }))
  return {
    owner,
    revision,
    accepted: !own.some(({ severity }) => severity === 'error'),
    findings: own,
    moved: [...moved, ...(before?.moved ?? [])].slice(0, KEPT_MOVES),
  }
}

/** Whether only the revision differs, which is not worth a write. */
function isSame(a: OwnerStatus, b: OwnerStatus): boolean {
  return JSON.stringify({ ...a, revision: 0 }) === JSON.stringify({ ...b, revision: 0 })
}
