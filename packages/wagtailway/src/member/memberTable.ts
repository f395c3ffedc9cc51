/**
 * Failure detection: which entry instances are alive.
 *
 * Members are probed in turn. A suspicion spreads by gossip as an update, which the
 * member refutes with a higher version. A member that isn't suspect counts as alive,
 * unless this node's latest probes of it failed. A suspect member gets no new work, but is
 * removed only much later, so that a process freeze costs no more than the time of the
 * freeze.
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
import { LocalHealth } from './localHealth.js'
import { UpdateQueue } from './updateQueue.js'

export interface MemberTableOptions {
  readonly self: MemberIdentity
  /** Monotonic clock. */
  readonly clock: Clock
}

/** The membership part of a message, the same in requests and responses. */
export interface MemberExchange {
  readonly updates: readonly MemberUpdate[]
  /** Hash over all members that the sender knows; zero if not given. */
  readonly memberDigest: number
  /**
   * Hash of each digest bucket, sent after the digests of two nodes differed; else empty.
   */
  readonly bucketHashes: readonly number[]
}

interface Entry {
  update: MemberUpdate
  changedAtMs: number
  failures: number
}

/**
 * Table of the members that this node knows.
 *
 * @example
 * const members = MemberTable.create({ self, clock: monotonicClock })
 * members.receive(exchange)
 * members.alive().length
 */
export class MemberTable {
  readonly health: LocalHealth
  readonly #entries = new Map<string, Entry>()
  readonly #digest = MemberDigest.create()
  readonly #queue = UpdateQueue.create()
  #self: MemberUpdate
  #syncedAtMs = Number.NEGATIVE_INFINITY
  #hasDifferentDigest = false
  #changeCount = 0
  #removals = 0

  private constructor(private readonly opts: MemberTableOptions) {
    this.health = LocalHealth.create(opts.clock)
    this.#self = { ...opts.self, leaving: false, status: MemberStatus.alive, version: 1 }
    this.#digest.toggle(this.#self)
    this.#queue.add(this.#self)
  }

  static create(opts: MemberTableOptions): MemberTable {
    return new MemberTable(opts)
  }

  get self(): MemberUpdate {
    return this.#self
  }

  /** Incremented with every change in the known state of another member. */
  get changeCount(): number {
    return this.#changeCount
  }

  /** Number of members that this node itself removed after an unrefuted suspicion. */
  get removals(): number {
    return this.#removals
  }

  /** Other members that are alive and not shutting down. */
  alive(): Member[] {
    return [...this.#entries.values()]
      .filter((entry) => isAlive(entry) && !entry.update.leaving)
      .map(({ update }) => update)
  }

  /** Other members that aren't removed, whether alive or suspect. */
  known(): MemberUpdate[] {
    return [...this.#entries.values()]
      .map(({ update }) => update)
      .filter(({ status }) => status !== MemberStatus.removed)
  }

  /** Status of a node; `undefined` if the node is unknown. */
  statusOf(node: string): number | undefined {
    return this.#entries.get(node)?.update.status
  }

  /**
   * Members whose latest probes failed but that aren't suspect yet; they are probed
   * again.
   */
  retrying(): MemberUpdate[] {
    return [...this.#entries.values()]
      .filter(({ failures, update }) => {
        const isRetrying = failures > 0 && failures < PROBE_ATTEMPTS
        return isRetrying && update.status === MemberStatus.alive
      })
      .map(({ update }) => update)
  }

  /**
   * Records that a message came directly from a member; adds an unknown member or a new
   * run.
   */
  recordContact(member: Member): void {
    const update = { ...member, status: MemberStatus.alive, version: 1 }
    this.#merge(update)
  }

  /**
   * Applies the updates of a message.
   *
   * @returns Updates of all members whose digest bucket differs from the sender's, if
   *   the message has bucket hashes.
   */
  receive({ updates, memberDigest, bucketHashes }: MemberExchange): MemberUpdate[] {
    for (const update of updates) this.#merge(update)
    this.#hasDifferentDigest =
      memberDigest !== 0 && memberDigest !== this.#digest.combinedHash
    if (bucketHashes.length !== DIGEST_BUCKETS) return []
    const ownHashes = this.#digest.buckets
    return [
      this.#self,
      ...[...this.#entries.values()].map(({ update }) => update),
    ].filter(({ node }) => ownHashes[bucketOf(node)] !== bucketHashes[bucketOf(node)])
  }

  /** Queues updates for forwarding because another node lacked them. */
  enqueue(updates: readonly MemberUpdate[]): void {
    for (const update of updates) this.#queue.add(update)
  }

  /**
   * Creates the membership part of a message.
   *
   * @param lacking Updates that the recipient lacks.
   * @param recipientNode Name of the recipient; if it is suspect or removed in this table,
   *   the message says so, so that the recipient can refute.
   */
  createExchange(
    lacking: readonly MemberUpdate[] = [],
    recipientNode?: string,
  ): MemberExchange {
    const recipient =
      recipientNode === undefined ? undefined : this.#entries.get(recipientNode)?.update
    const suspicion =
      recipient && recipient.status !== MemberStatus.alive ? [recipient] : []
    const queued = this.#queue.takeBatch(this.#entries.size)
    const isSyncDue =
      this.#hasDifferentDigest && this.opts.clock() - this.#syncedAtMs >= SYNC_INTERVAL_MS
    if (isSyncDue) this.#syncedAtMs = this.opts.clock()
    return {
      updates: [...suspicion, ...queued, ...lacking],
      memberDigest: this.#digest.combinedHash,
      bucketHashes: isSyncDue ? this.#digest.buckets : [],
    }
  }

  /** Records a successful probe. */
  recordProbeSuccess(node: string): void {
    const entry = this.#entries.get(node)
    if (!entry) return
    this.health.recordSuccess(entry.update.zone)
    if (entry.failures >= UNREACHABLE_ATTEMPTS) this.#changeCount += 1
    entry.failures = 0
  }

  /**
   * Records a failed probe; the last of {@link PROBE_ATTEMPTS} makes its target suspect.
   */
  recordProbeFailure(node: string): void {
    const entry = this.#entries.get(node)
    if (!entry || this.health.isPaused) return
    this.health.recordFailure(entry.update.zone, node)
    entry.failures += 1
    if (entry.failures === UNREACHABLE_ATTEMPTS) this.#changeCount += 1
    const { update } = entry
    const isLastAttempt = entry.failures >= PROBE_ATTEMPTS
    if (!isLastAttempt || update.status !== MemberStatus.alive) return
    if (this.health.canSuspect(update.zone)) {
      this.#store({ ...update, status: MemberStatus.suspect })
    }
  }

  /**
   * Removes members whose suspicion has expired, and expired tombstones. Must be called
   * at least once a second.
   */
  tick(): void {
    const now = this.opts.clock()
    if (this.health.tick()) this.#restartSuspicions(now)
    for (const [node, entry] of this.#entries) {
      const unchangedMs = now - entry.changedAtMs
      const { status, zone } = entry.update
      const isSuspicionExpired =
        status === MemberStatus.suspect && unchangedMs >= SUSPECT_MS
      if (isSuspicionExpired && this.health.canSuspect(zone)) {
        this.#removals += 1
        this.#store({ ...entry.update, status: MemberStatus.removed })
      }
      if (status === MemberStatus.removed && unchangedMs >= TOMBSTONE_MS) {
        this.#entries.delete(node)
      }
    }
  }

  /** Removes suspect members that the platform no longer lists. */
  dropUnlisted(listed: ReadonlySet<string>): void {
    for (const { update } of this.#entries.values()) {
      if (update.status !== MemberStatus.suspect || listed.has(update.node)) continue
      this.#store({ ...update, status: MemberStatus.removed })
    }
  }

  /** Announces to the other members that this node is shutting down. */
  announceShutdown(): void {
    this.#updateSelf({ leaving: true })
  }

  /**
   * Restarts the time of all suspicions, because a paused node can't receive refutations.
   */
  #restartSuspicions(now: number): void {
    for (const entry of this.#entries.values()) {
      entry.failures = 0
      if (entry.update.status === MemberStatus.suspect) entry.changedAtMs = now
    }
  }

  #merge(update: MemberUpdate): void {
    if (update.node === this.#self.node) {
      this.#refute(update)
      return
    }
    const known = this.#entries.get(update.node)?.update
    if (!known || supersedes(update, known)) this.#store(update)
  }

  #refute(update: MemberUpdate): void {
    if (update.incarnation !== this.#self.incarnation) return
    if (update.status === MemberStatus.alive) return
    // The suspicion is older than this node's last refutation, which was lost in transit.
    if (update.version < this.#self.version) this.#queue.add(this.#self)
    else this.#updateSelf({ version: update.version })
  }

  #updateSelf(change: { leaving?: boolean; version?: number }): void {
    this.#digest.toggle(this.#self)
    const version = (change.version ?? this.#self.version) + 1
    this.#self = { ...this.#self, ...change, version }
    this.#digest.toggle(this.#self)
    this.#queue.add(this.#self)
  }

  #store(update: MemberUpdate): void {
    const known = this.#entries.get(update.node)
    if (known) this.#digest.toggle(known.update)
    this.#digest.toggle(update)
    const changedAtMs = this.opts.clock()
    const failures = update.status === MemberStatus.alive ? 0 : (known?.failures ?? 0)
    this.#entries.set(update.node, { update: copyUpdate(update), changedAtMs, failures })
    this.#queue.add(copyUpdate(update))
    this.#changeCount += 1
  }
}

function isAlive({ update, failures }: Entry): boolean {
  return update.status === MemberStatus.alive && failures < UNREACHABLE_ATTEMPTS
}

/** Copies the fields of an update, without those that a decoder may have added. */
function copyUpdate(update: MemberUpdate): MemberUpdate {
  const { node, incarnation, zone, region, address, leaving, status, version } = update
  return { node, incarnation, zone, region, address, leaving, status, version }
}
