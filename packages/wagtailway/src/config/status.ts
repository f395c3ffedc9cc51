/** Reports the outcome of a publication to each owner, as `status` objects. */
import * as z from 'zod'
import type { ObjectStore } from '../platform/objectStore.js'
import type { Finding } from './findings.js'
import type { Move } from './moves.js'
import type { Plan } from './publish.js'

/** Number of recent moves stored in an owner's status. */
const MAX_STORED_MOVES = 50

const findingSchema = z.object({
  rule: z.string(),
  severity: z.enum(['error', 'warning']),
  owner: z.string(),
  place: z.object({ source: z.string(), path: z.string(), line: z.number().optional() }),
  message: z.string(),
})

const storedMoveSchema = z.object({
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
  /** Revision of the configuration that the findings refer to. */
  revision: z.number(),
  /** Whether the owner's newest document is in force; otherwise an earlier one still is. */
  accepted: z.boolean(),
  findings: z.array(findingSchema),
  /** Recent moves of the traffic of the owner's workspaces, newest first. */
  moved: z.array(storedMoveSchema),
})

export type OwnerStatus = z.infer<typeof ownerStatusSchema>

/**
 * Writes the status of every owner that the plan concerns. Failures are ignored: the
 * configuration is in force anyway, and the next publication writes the current status.
 */
export async function writeStatus(
  store: ObjectStore,
  plan: Plan,
  revision: number,
): Promise<void> {
  const listed = await store.list('status', '')
  if (listed.err) return
  const objectsByOwner = new Map(
    listed.val.objects.map((object) => [object.name, object]),
  )
  for (const owner of ownersOf(plan)) {
    const object = objectsByOwner.get(owner)
    const previous = ownerStatusSchema.safeParse(object?.value).data
    if (previous && previous.revision > revision) continue
    const status = createStatus(owner, plan, revision, previous)
    if (previous && equalsIgnoringRevision(previous, status)) continue
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

function createStatus(
  owner: string,
  { findings, moves }: Plan,
  revision: number,
  previous: OwnerStatus | undefined,
): OwnerStatus {
  const ownFindings = findings.filter((finding: Finding) => finding.owner === owner)
  const newMoves = moves
    .filter((move: Move) => move.owner === owner)
    .map((move) => ({ ...move, revision }))
  return {
    owner,
    revision,
    accepted: !ownFindings.some(({ severity }) => severity === 'error'),
    findings: ownFindings,
    moved: [...newMoves, ...(previous?.moved ?? [])].slice(0, MAX_STORED_MOVES),
  }
}

/** Whether at most the revision differs, which doesn't justify a write. */
function equalsIgnoringRevision(a: OwnerStatus, b: OwnerStatus): boolean {
  return JSON.stringify({ ...a, revision: 0 }) === JSON.stringify({ ...b, revision: 0 })
}
