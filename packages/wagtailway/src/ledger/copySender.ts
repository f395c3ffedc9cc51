/**
 * Sends copies of this incarnation's records to other nodes before the end of a
 * response is released.
 *
 * Records added while a message to the same node is in flight share the next message.
 * At a low rate no record waits; at a high rate the round trip limits the rate of
 * messages.
 */
import type { Clock } from '../clock.js'
import { withTimeout, type StartTimer } from '../csp/timers.js'
import type { MemberIdentity } from '../member/member.js'
import type { LedgerEntry } from './billingRecord.js'
import type { CopyBatch } from './copyStore.js'
import { selectCopyTargets } from './copyTargets.js'
import type { Ledger } from './ledger.js'

export interface CopySenderOptions<M extends MemberIdentity> {
  readonly self: MemberIdentity
  readonly ledger: Pick<Ledger, 'pending' | 'pendingCount' | 'storedBelow'>
  /** Other members that are alive. */
  readonly alive: () => readonly M[]
  /**
   * Sends a batch; resolves to false if the member has no room, rejects if it doesn't
   * respond.
   */
  readonly send: (member: M, batch: CopyBatch, timeoutMs: number) => Promise<boolean>
  /** Monotonic clock. */
  readonly clock: Clock
  readonly startTimer: StartTimer
  /**
   * Number of members that each record is copied to. The first gets it at once, and the
   * response is released after its confirmation; the others get it in a later batch.
   * @default 2
   */
  readonly copies?: number
  /**
   * Time for which records for the other members are batched, in milliseconds.
   * @default 200
   */
  readonly batchDelayMs?: number
  /**
   * Timeout of one message, in milliseconds.
   * @default 250
   */
  readonly timeoutMs?: number
}

interface QueuedEntry {
  readonly entry: LedgerEntry
  readonly resolve: (copied: boolean) => void
}

interface PeerQueue {
  entries: QueuedEntry[]
  isSending: boolean
  /**
   * Whether the member accepted every record that was pending at the last full transfer,
   * and no batch to it has failed since.
   */
  isCaughtUp: boolean
  /** Value of `storedBelow` in the last message that the member accepted. */
  reportedBelow: number
}

/** Maximum number of entries in one message. */
const MAX_BATCH_ENTRIES = 500

/**
 * Time for which a member is avoided after it rejected a batch or didn't respond, in
 * milliseconds.
 */
const AVOIDANCE_MS = 3_000

/**
 * Maximum number of times that members are selected before a response is released
 * without a copy.
 */
const MAX_COPY_ROUNDS = 2

/**
 * Copies records to other nodes.
 *
 * @example
 * const sender = CopySender.create({ self, ledger, alive, send, clock, startTimer })
 * await sender.copy(ledger.add(record)) // true once one copy is confirmed
 */
export class CopySender<M extends MemberIdentity> {
  readonly #queues = new Map<string, PeerQueue>()
  readonly #avoidUntilMs = new Map<string, number>()

  private constructor(private readonly opts: CopySenderOptions<M>) {}

  static create<M extends MemberIdentity>(opts: CopySenderOptions<M>): CopySender<M> {
    return new CopySender(opts)
  }

  /**
   * Resolves to true once one copy is confirmed, or to false if no member confirmed one.
   */
  async copy(entry: LedgerEntry): Promise<boolean> {
    for (let round = 0; round < MAX_COPY_ROUNDS; round++) {
      const targets = this.#targets()
      const [first, ...others] = targets
      if (!first) return false
      for (const other of others) void this.#enqueue(other, entry, this.#batchDelayMs)
      if (await this.#enqueue(first, entry)) return true
    }
    return false
  }

  /**
   * Reports to the members which records are stored and that this node is alive. A member
   * that is new or that failed to accept a batch gets every pending record.
   */
  async refresh(): Promise<void> {
    const targets = this.#targets()
    const incarnations = new Set(targets.map(({ incarnation }) => incarnation))
    for (const key of this.#queues.keys()) {
      if (!incarnations.has(key)) this.#queues.delete(key)
    }
    await Promise.all(targets.map((target) => this.#refreshOne(target)))
  }

  async #refreshOne(target: M): Promise<void> {
    const { ledger } = this.opts
    const queue = this.#queueOf(target)
    if (!queue.isCaughtUp) {
      const copies = ledger.pending().map((entry) => this.#enqueue(target, entry))
      const results = await Promise.all(copies)
      queue.isCaughtUp = results.every((copied) => copied)
      return
    }
    const hasUpdates =
      ledger.storedBelow !== queue.reportedBelow || ledger.pendingCount > 0
    if (!hasUpdates || queue.isSending) return
    await this.#sendBatch(target, queue, [])
    await this.#flush(target, queue)
  }

  get #batchDelayMs(): number {
    return this.opts.batchDelayMs ?? 200
  }

  #enqueue(target: M, entry: LedgerEntry, delayMs = 0): Promise<boolean> {
    const queue = this.#queueOf(target)
    return new Promise((resolve) => {
      queue.entries.push({ entry, resolve })
      if (delayMs === 0) void this.#flush(target, queue)
      else if (queue.entries.length === 1) this.#flushLater(target, queue, delayMs)
    })
  }

  #flushLater(target: M, queue: PeerQueue, delayMs: number): void {
    this.opts.startTimer(delayMs, () => {
      void this.#flush(target, queue)
    })
  }

  async #flush(target: M, queue: PeerQueue): Promise<void> {
    if (queue.isSending) return
    while (queue.entries.length > 0) {
      const group = queue.entries.splice(0, MAX_BATCH_ENTRIES)
      const entries = group.map(({ entry }) => entry)
      const copied = await this.#sendBatch(target, queue, entries)
      // Entries queued for a member that failed fail too, so that they go to another member.
      const completed = copied ? group : [...group, ...queue.entries.splice(0)]
      for (const { resolve } of completed) resolve(copied)
    }
  }

  async #sendBatch(
    target: M,
    queue: PeerQueue,
    entries: readonly LedgerEntry[],
  ): Promise<boolean> {
    const { self, ledger, send, startTimer, timeoutMs = 250 } = this.opts
    const { storedBelow } = ledger
    const batch = { incarnation: self.incarnation, entries, storedBelow }
    queue.isSending = true
    const response = send(target, batch, timeoutMs).catch(() => undefined)
    const accepted = await withTimeout(startTimer, timeoutMs, response, undefined)
    queue.isSending = false
    if (accepted) queue.reportedBelow = storedBelow
    else this.#recordFailure(target, queue)
    return accepted ?? false
  }

  #recordFailure({ incarnation }: M, queue: PeerQueue): void {
    queue.isCaughtUp = false
    this.#avoidUntilMs.set(incarnation, this.opts.clock() + AVOIDANCE_MS)
  }

  #targets(): M[] {
    const nowMs = this.opts.clock()
    const alive = this.opts.alive()
    const notAvoided = alive.filter(
      ({ incarnation }) => (this.#avoidUntilMs.get(incarnation) ?? 0) <= nowMs,
    )
    // A copy at a member that failed recently is better than no copy.
    const usable = notAvoided.length > 0 ? notAvoided : alive
    return selectCopyTargets(this.opts.self, usable, this.opts.copies ?? 2)
  }

  #queueOf({ incarnation }: M): PeerQueue {
    const known = this.#queues.get(incarnation)
    if (known) return known
    const queue = { entries: [], isSending: false, isCaughtUp: false, reportedBelow: 0 }
    this.#queues.set(incarnation, queue)
    return queue
  }
}
