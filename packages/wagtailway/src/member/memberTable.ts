/**
 * Which entry instances are alive.
 *
 * Members are probed in turn. Bad news of a member travels as an update, which
 * the member refutes with a higher version; no news means alive. A suspected
 * member gets no new work at once and is removed only much later, so that a
 * freeze costs nothing but the time of the freeze.
 */
import type { Clock } from '../clock.js'
import {
  DIGEST_BUCKETS,
  PROBE_ATTEMPTS,
  SUSPECT_MS,
  SYNC_INTERVAL_MS,
  TOMBSTONE_MS,
  UNREACHABLE_ATTEMPTS,
} from './constants.js'
import { MemberDigest, bucketOf } from './memberDigest.js'
import {
  MemberStatus,
  supersedes,
  type Member,
  type MemberIdentity,
  type MemberUpdate,
} from './member.js'
import { OwnHealth } from './localHealth.js'
import { UpdateQueue } from './updateQueue.js'

export interface MemberTableOptions {
  readonly self: MemberIdentity
  /** Monotonic clock. */
  readonly clock: Clock
}

/** The part of an exchange that is about members, the same in both directions. */
export interface MemberExchange {
  readonly updates: readonly MemberUpdate[]
  /** Hash of all that the sender knows; zero if not given. */
  readonly memberDigest: number
  /** Hash of each bucket, asked for or given when the digests differ. */
  readonly bucketHashes: readonly number[]
}

interface Entry {
  update: MemberUpdate
  changedAtMs: number
  failures: number
}

/**
 * Members as this node knows them.
 *
 * @example
 * const members = MemberTable.create({ self, clock: monotonicClock })
 * members.receive(exchange)
 * members.alive().length
 */
export class MemberTable {
  readonly health: OwnHealth
  readonly #entries = new Map<string, Entry>()
  readonly #digest = MemberDigest.create()
  readonly #queue = UpdateQueue.create()
  #own: MemberUpdate
  #syncedAtMs = Number.NEGATIVE_INFINITY
  #differs = false
  #changes = 0
  #removals = 0

  private constructor(private readonly opts: MemberTableOptions) {
    this.health = OwnHealth.create(opts.clock)
    this.#own = { ...opts.self, leaving: false, status: MemberStatus.alive, version: 1 }
    this.#digest.toggle(this.#own)
    this.#queue.add(this.#own)
  }

  static create(opts: MemberTableOptions): MemberTable {
    return new MemberTable(opts)
  }

  get self(): MemberUpdate {
    return this.#own
  }

  /** Grows with every change of what is known. */
  get changes(): number {
    return this.#changes
  }

  /** Members that this node has removed itself, after a suspicion that nobody refuted. */
  get removals(): number {
    return this.#removals
  }

  /** Other members that are alive and not leaving. */
  alive(): Member[] {
    return [...this.#entries.values()]
      .filter((entry) => isAlive(entry) && !entry.update.leaving)
      .map(({ update }) => update)
  }

  /** Members that are known and not removed, alive or not. */
  known(): MemberUpdate[] {
    return [...this.#entries.values()]
      .map(({ update }) => update)
      .filter(({ status }) => status !== MemberStatus.removed)
  }

  /** Standing of a node; `undefined` if it was never heard of. */
  statusOf(node: string): number | undefined {
    return this.#entries.get(node)?.update.status
  }

  /** Nodes whose probe has begun to fail and is to be repeated. */
  retrying(): MemberUpdate[] {
    return [...this.#entries.values()]
      .filter(({ failures, update }) => {
        const unfinished = failures > 0 && failures < PROBE_ATTEMPTS
        return unfinished && update.status === MemberStatus.alive
      })
      .map(({ update }) => update)
  }

  /** Takes in a message that came straight from a member. */
  heard(member: Member): void {
    const update = { ...member, status: MemberStatus.alive, version: 1 }
    this.#merge(update)
  }

  /** Takes in updates; answers what the sender should be told because it knows less. */
  receive({ updates, memberDigest, bucketHashes }: MemberExchange): MemberUpdate[] {
    for (const update of updates) this.#merge(update)
    this.#differs = memberDigest !== 0 && memberDigest !== this.#digest.whole
    if (bucketHashes.length !== DIGEST_BUCKETS) return []
    const own = this.#digest.buckets
    return [this.#own, ...[...this.#entries.values()].map(({ update }) => update)].filter(
      ({ node }) => own[bucketOf(node)] !== bucketHashes[bucketOf(node)],
    )
  }

  /** Sends updates on that another node was found to lack. */
  tell(updates: readonly MemberUpdate[]): void {
    for (const update of updates) this.#queue.add(update)
  }

  /** What to tell another node; `answer` holds updates that it lacks. */
  exchange(answer: readonly MemberUpdate[] = [], to?: string): MemberExchange {
    const about = to === undefined ? undefined : this.#entries.get(to)?.update
    const doubt = about && about.status !== MemberStatus.alive ? [about] : []
    const queued = this.#queue.take(this.#entries.size)
    const sync = this.#differs && this.opts.clock() - this.#syncedAtMs >= SYNC_INTERVAL_MS
    if (sync) this.#syncedAtMs = this.opts.clock()
    return {
      updates: [...doubt, ...queued, ...answer],
      memberDigest: this.#digest.whole,
      bucketHashes: sync ? this.#digest.buckets : [],
    }
  }

  /** Notes that a probe was answered. */
  answered(node: string): void {
    const entry = this.#entries.get(node)
    if (!entry) return
    this.health.succeeded(entry.update.zone)
    if (entry.failures >= UNREACHABLE_ATTEMPTS) this.#changes += 1
    entry.failures = 0
  }

  /** Notes that a probe was not answered; the last attempt makes its target suspect. */
  unanswered(node: string): void {
    const entry = this.#entries.get(node)
    if (!entry || this.health.isPaused) return
    this.health.failed(entry.update.zone, node)
    entry.failures += 1
    if (entry.failures === UNREACHABLE_ATTEMPTS) this.#changes += 1
    const { update } = entry
    const last = entry.failures >= PROBE_ATTEMPTS
    if (!last || update.status !== MemberStatus.alive) return
    if (this.health.mayJudge(update.zone)) {
      this.#store({ ...update, status: MemberStatus.suspect })
    }
  }

  /** Ends suspicions whose time is over; to be called at least once a second. */
  tick(): void {
    const now = this.opts.clock()
    if (this.health.tick()) this.#startOver(now)
    for (const [node, entry] of this.#entries) {
      const forMs = now - entry.changedAtMs
      const { status, zone } = entry.update
      const overdue = status === MemberStatus.suspect && forMs >= SUSPECT_MS
      if (overdue && this.health.mayJudge(zone)) {
        this.#removals += 1
        this.#store({ ...entry.update, status: MemberStatus.removed })
      }
      if (status === MemberStatus.removed && forMs >= TOMBSTONE_MS) {
        this.#entries.delete(node)
      }
    }
  }

  /** Removes members that the platform no longer lists and that don't answer. */
  dropUnlisted(listed: ReadonlySet<string>): void {
    for (const { update } of this.#entries.values()) {
      if (update.status !== MemberStatus.suspect || listed.has(update.node)) continue
      this.#store({ ...update, status: MemberStatus.removed })
    }
  }

  /** Tells the others that this node is leaving. */
  announceShutdown(): void {
    this.#changeOwn({ leaving: true })
  }

  /** Gives suspected members their whole time again, because this node didn't listen. */
  #startOver(now: number): void {
    for (const entry of this.#entries.values()) {
      entry.failures = 0
      if (entry.update.status === MemberStatus.suspect) entry.changedAtMs = now
    }
  }

  #merge(update: MemberUpdate): void {
    if (update.node === this.#own.node) {
      this.#refute(update)
      return
    }
    const known = this.#entries.get(update.node)?.update
    if (!known || supersedes(update, known)) this.#store(update)
  }

  #refute(update: MemberUpdate): void {
    if (update.incarnation !== this.#own.incarnation) return
    if (update.status === MemberStatus.alive) return
    // An older doubt was refuted already, but the refutation was lost on the way.
    if (update.version < this.#own.version) this.#queue.add(this.#own)
    else this.#changeOwn({ version: update.version })
  }

  #changeOwn(change: { leaving?: boolean; version?: number }): void {
    this.#digest.toggle(this.#own)
    const version = (change.version ?? this.#own.version) + 1
    this.#own = { ...this.#own, ...change, version }
    this.#digest.toggle(this.#own)
    this.#queue.add(this.#own)
  }

  #store(update: MemberUpdate): void {
    const known = this.#entries.get(update.node)
    if (known) this.#digest.toggle(known.update)
    this.#digest.toggle(update)
    const changedAtMs = this.opts.clock()
    const failures = update.status === MemberStatus.alive ? 0 : (known?.failures ?? 0)
    this.#entries.set(update.node, { update: pick(update), changedAtMs, failures })
    this.#queue.add(pick(update))
    this.#changes += 1
  }
}

function isAlive({ update, failures }: Entry): boolean {
  return update.status === MemberStatus.alive && failures < UNREACHABLE_ATTEMPTS
}

/** The update's own fields, without what a decoder may have added. */
function pick(update: MemberUpdate): MemberUpdate {
  const { node, incarnation, zone, region, address, leaving, status, version } = update
  return { node, incarnation, zone, region, address, leaving, status, version }
}
