/** Which entry instances are alive, from the platform's list and from heartbeats. */
import type { Clock } from '../clock.js'

export interface MemberIdentity {
  readonly node: string
  /** Unique for each run of the node. */
  readonly incarnation: string
  readonly zone: string
  readonly region: string
  /** `host:port` of the peer service. */
  readonly address: string
}

export interface Member extends MemberIdentity {
  readonly leaving: boolean
}

export interface MemberTableOptions {
  readonly self: MemberIdentity
  readonly clock: Clock
  /**
   * Silence after which a member no longer counts as alive, in milliseconds.
   * @default 5_000
   */
  readonly aliveMs?: number
}

interface Entry {
  member: Member
  heartbeat: number
  heardAtMs: number
}

/**
 * Members that were heard of lately.
 *
 * @example
 * const members = MemberTable.create({ self, clock })
 * members.heard(member, 12)
 * members.alive().length
 */
export class MemberTable {
  readonly #entries = new Map<string, Entry>()

  private constructor(private readonly opts: MemberTableOptions) {}

  static create(opts: MemberTableOptions): MemberTable {
    return new MemberTable(opts)
  }

  /** Takes in a heartbeat; an older one than the last changes nothing. */
  heard(member: Member, heartbeat: number): void {
    if (member.incarnation === this.opts.self.incarnation) return
    const known = this.#entries.get(member.node)
    const stale =
      known?.member.incarnation === member.incarnation && known.heartbeat >= heartbeat
    if (stale) return
    this.#entries.set(member.node, { member, heartbeat, heardAtMs: this.opts.clock() })
  }

  /** Other members that are alive and not leaving. */
  alive(): Member[] {
    const oldest = this.opts.clock() - (this.opts.aliveMs ?? 5_000)
    return [...this.#entries.values()]
      .filter(({ heardAtMs, member }) => heardAtMs >= oldest && !member.leaving)
      .map(({ member }) => member)
  }
}
