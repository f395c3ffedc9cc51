/** Entry instances as the others know them. */

export interface MemberIdentity {
  readonly node: string
  /** Unique for each run of the node; a later run's is longer or sorts higher. */
  readonly incarnation: string
  readonly zone: string
  readonly region: string
  /** `host:port` of the peer service. */
  readonly address: string
}

export interface Member extends MemberIdentity {
  readonly leaving: boolean
}

/** Standing of a member; of two updates of one version the higher standing wins. */
export const MemberStatus = { alive: 0, suspect: 1, removed: 2 } as const

/** What one node tells others of a member. */
export interface MemberUpdate extends Member {
  /** One of {@link MemberStatus}. */
  readonly status: number
  /** Raised by the member alone, to refute a suspicion or to tell that it leaves. */
  readonly version: number
}

/** Whether `a` says more than `b` of the same node. */
export function supersedes(a: MemberUpdate, b: MemberUpdate): boolean {
  if (a.incarnation !== b.incarnation) {
    return isLaterIncarnation(a.incarnation, b.incarnation)
  }
  if (a.version !== b.version) return a.version > b.version
  return a.status > b.status
}

function isLaterIncarnation(a: string, b: string): boolean {
  return a.length === b.length ? a > b : a.length > b.length
}
