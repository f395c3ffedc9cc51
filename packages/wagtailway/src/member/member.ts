/** Data about entry instances that the nodes exchange. */

export interface MemberIdentity {
  readonly node: string
  /**
   * Unique for each run of the node; the value of a later run is longer or sorts higher.
   */
  readonly incarnation: string
  readonly zone: string
  readonly region: string
  /** `host:port` of the peer service. */
  readonly address: string
}

export interface Member extends MemberIdentity {
  readonly leaving: boolean
}

/** Status of a member; of two updates with the same version, the higher status wins. */
export const MemberStatus = { alive: 0, suspect: 1, removed: 2 } as const

/** State of a member as one node reports it to others. */
export interface MemberUpdate extends Member {
  /** One of {@link MemberStatus}. */
  readonly status: number
  /**
   * Incremented only by the member itself, to refute a suspicion or announce its
   * shutdown.
   */
  readonly version: number
}

/** Whether `a` is newer than `b`, an update of the same node, and replaces it. */
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
