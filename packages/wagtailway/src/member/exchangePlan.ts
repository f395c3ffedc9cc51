/** Selects the peers that a node exchanges messages with next. */
import { rendezvous } from '../hash.js'
import type { Random } from '../random.js'
import type { MemberIdentity } from './member.js'
import type { MemberTable } from './memberTable.js'
import { LIST_WATCHERS_PER_ZONE, watchersOf } from './watchers.js'

/** A peer to exchange messages with; `node` is unknown for a seed address. */
export interface ExchangeTarget {
  readonly node: string | undefined
  readonly address: string
}

export interface ExchangePlanOptions {
  readonly members: MemberTable
  readonly random: Random
}

/**
 * Selects members for probes in rounds of random order, and a watcher to ask for the
 * newest configuration.
 *
 * @example
 * const plan = ExchangePlan.create({ members, random })
 * plan.nextProbe()
 */
export class ExchangePlan {
  #probeRound: ExchangeTarget[] = []
  #listedTargets: readonly ExchangeTarget[] = []
  #watcherTurn = 0
  /** Change count of the member table that the plan is based on. */
  #plannedChangeCount = -1
  /** Position of this node among the watchers of its zone; -1 if it isn't one. */
  #watcherRank = -1
  #watchers: ExchangeTarget[] = []

  private constructor(private readonly opts: ExchangePlanOptions) {}

  static create(opts: ExchangePlanOptions): ExchangePlan {
    return new ExchangePlan(opts)
  }

  /**
   * Sets the entry instances that the platform lists, without this node, or the seed
   * addresses.
   */
  setListed(listed: readonly ExchangeTarget[]): void {
    this.#listedTargets = listed
  }

  /** Whether this node watches the platform on behalf of its zone. */
  get isWatcher(): boolean {
    this.#updatePlan()
    return this.#watcherRank >= 0
  }

  /** Whether this node polls the list of instances on behalf of its zone. */
  get isListWatcher(): boolean {
    return this.isWatcher && this.#watcherRank < LIST_WATCHERS_PER_ZONE
  }

  /**
   * The next target of the current shuffled round; a round covers all known members,
   * suspect ones included, and the listed peers that aren't known as members yet.
   */
  nextProbe(): ExchangeTarget | undefined {
    if (this.#probeRound.length === 0) this.#probeRound = this.#shuffleTargets()
    return this.#probeRound.pop()
  }

  /** The watcher to ask for the newest revision. */
  nextWatcher(): ExchangeTarget | undefined {
    this.#updatePlan()
    return this.#watchers[this.#watcherTurn % Math.max(1, this.#watchers.length)]
  }

  /**
   * Moves to the next watcher because the current one failed or its proof of freshness is
   * old.
   */
  skipWatcher(): void {
    this.#watcherTurn += 1
  }

  #updatePlan(): void {
    const { members } = this.opts
    if (this.#plannedChangeCount === members.changeCount) return
    this.#plannedChangeCount = members.changeCount
    const { self } = members
    const alive = members.alive()
    const zoneWatchers = watchersOf(self.zone, [self, ...alive])
    this.#watcherRank = zoneWatchers.findIndex(({ node }) => node === self.node)
    const zones = new Set(alive.map(({ zone }) => zone))
    zones.delete(self.zone)
    // A watcher asks only watchers of other zones, one per zone; other nodes ask the
    // watchers of their own zone first.
    const remoteWatchers = [...zones].flatMap((zone) => watchersOf(zone, alive, 1))
    const otherWatchers = zoneWatchers.filter(({ node }) => node !== self.node)
    const localTargets =
      this.#watcherRank >= 0 ? [] : rankTargets(self.node, otherWatchers)
    this.#watchers = [...localTargets, ...rankTargets(self.node, remoteWatchers)]
  }

  #shuffleTargets(): ExchangeTarget[] {
    const { members, random } = this.opts
    const known = members.known()
    const names = new Set([members.self.node, ...known.map(({ node }) => node)])
    const unknownTargets = this.#listedTargets.filter(
      ({ node }) => node === undefined || !names.has(node),
    )
    return [...known.map(({ node, address }) => ({ node, address })), ...unknownTargets]
      .map((target) => ({ target, order: random() }))
      .sort((a, b) => a.order - b.order)
      .map(({ target }) => target)
  }
}

function rankTargets(key: string, members: readonly MemberIdentity[]): ExchangeTarget[] {
  return rendezvous(key, members, ({ node }) => node).map(({ node, address }) => ({
    node,
    address,
  }))
}
