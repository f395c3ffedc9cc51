/** With whom a node exchanges next. */
import { rendezvous } from '../hash.js'
import type { Random } from '../random.js'
import type { MemberIdentity } from './member.js'
import type { MemberTable } from './memberTable.js'
import { LIST_WATCHERS_PER_ZONE, watchersOf } from './watchers.js'

/** A peer to exchange with; its name is unknown while only an address is known. */
export interface ExchangeTarget {
  readonly node: string | undefined
  readonly address: string
}

export interface ExchangePlanOptions {
  readonly members: MemberTable
  readonly random: Random
}

/**
 * Chooses a member in turn for each probe, and a watcher for the configuration.
 *
 * @example
 * const plan = ExchangePlan.create({ members, random })
 * plan.nextProbe()
 */
export class ExchangePlan {
  #round: ExchangeTarget[] = []
  #listed: readonly ExchangeTarget[] = []
  #watcherTurn = 0
  #plannedAt = -1
  #rank = -1
  #watchers: ExchangeTarget[] = []

  private constructor(private readonly opts: ExchangePlanOptions) {}

  static create(opts: ExchangePlanOptions): ExchangePlan {
    return new ExchangePlan(opts)
  }

  /** Takes over what the platform lists, or seed addresses, apart from this node. */
  setListed(listed: readonly ExchangeTarget[]): void {
    this.#listed = listed
  }

  /** Whether this node watches the platform for its zone. */
  get isWatcher(): boolean {
    this.#replan()
    return this.#rank >= 0
  }

  /** Whether this node polls the list of instances for its zone. */
  get isListWatcher(): boolean {
    return this.isWatcher && this.#rank < LIST_WATCHERS_PER_ZONE
  }

  /** The next member in a shuffled round over all, suspected ones included. */
  nextProbe(): ExchangeTarget | undefined {
    if (this.#round.length === 0) this.#round = this.#shuffled()
    return this.#round.pop()
  }

  /** A watcher to ask for the newest revision. */
  nextWatcher(): ExchangeTarget | undefined {
    this.#replan()
    return this.#watchers[this.#watcherTurn % Math.max(1, this.#watchers.length)]
  }

  /** Goes to another watcher after one that failed or was behind. */
  skipWatcher(): void {
    this.#watcherTurn += 1
  }

  #replan(): void {
    const { members } = this.opts
    if (this.#plannedAt === members.changes) return
    this.#plannedAt = members.changes
    const { self } = members
    const alive = members.alive()
    const own = watchersOf(self.zone, [self, ...alive])
    this.#rank = own.findIndex(({ node }) => node === self.node)
    const zones = new Set(alive.map(({ zone }) => zone))
    zones.delete(self.zone)
    // A watcher compares with those of the other zones; the rest ask their own zone's first.
    const elsewhere = [...zones].flatMap((zone) => watchersOf(zone, alive, 1))
    const others = own.filter(({ node }) => node !== self.node)
    const near = this.#rank >= 0 ? [] : byKey(self.node, others)
    this.#watchers = [...near, ...byKey(self.node, elsewhere)]
  }

  #shuffled(): ExchangeTarget[] {
    const { members, random } = this.opts
    const known = members.known()
    const names = new Set([members.self.node, ...known.map(({ node }) => node)])
    const unheard = this.#listed.filter(
      ({ node }) => node === undefined || !names.has(node),
    )
    return [...known.map(({ node, address }) => ({ node, address })), ...unheard]
      .map((target) => ({ target, order: random() }))
      .sort((a, b) => a.order - b.order)
      .map(({ target }) => target)
  }
}

function byKey(key: string, members: readonly MemberIdentity[]): ExchangeTarget[] {
  return rendezvous(key, members, ({ node }) => node).map(({ node, address }) => ({
    node,
    address,
  }))
}
