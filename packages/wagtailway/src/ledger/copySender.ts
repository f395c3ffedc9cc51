/**
 * Sends copies of this incarnation's records to other nodes before the end of an
 * answer is released.
 *
 * Records that are due while a message to the same node is under way share the
 * next one: nothing waits at a low rate, and the rate of messages is bounded by
 * their round trip at a high one.
 */
import type { Clock } from '../clock.js'
import { withTimeout, type StartTimer } from '../csp/timers.js'
import type { MemberIdentity } from '../member/member.js'
import type { LedgerEntry } from './billingRecord.js'
import type { CopyBatch } from './copyStore.js'
import { chooseCopyTargets } from './copyTargets.js'
import type { Ledger } from './ledger.js'

export interface CopySenderOptions<M extends MemberIdentity> {
  readonly self: MemberIdentity
  readonly ledger: Pick<Ledger, 'pending' | 'pendingCount' | 'storedBelow'>
  /** Other members that are alive. */
  readonly alive: () => readonly M[]
  /** Sends a batch; false if the member has no room, rejects if it doesn't answer. */
  readonly send: (member: M, batch: CopyBatch, timeoutMs: number) => Promise<boolean>
  /** Monotonic clock. */
  readonly clock: Clock
  readonly startTimer: StartTimer
  /**
   * Members that get each record. The first gets it at once and the release waits
   * for it; the others get it a little later.
   * @default 2
   */
  readonly copies?: number
  /**
   * Time in which records for the other members are gathered, in milliseconds.
   * @default 200
   */
  readonly gatherMs?: number
  /**
   * Longest wait for one message, in milliseconds.
   * @default 250
   */
  readonly timeoutMs?: number
}

interface Waiting {
  readonly entry: LedgerEntry
  readonly settle: (copied: boolean) => void
}

interface Lane {
  waiting: Waiting[]
  isSending: boolean
  /** Whether the member has every pending record. */
  isFilled: boolean
  /** What the member was last told to be stored. */
  toldBelow: number
}

/** Entries in one message. */
const MAX_BATCH = 500

/** Time for which a member that did not answer is passed over, in milliseconds. */
const SUSPECT_MS = 3_000

/** Choices of members before an answer is released without a copy. */
const MAX_ROUNDS = 2

/**
 * Copies records to other nodes.
 *
 * @example
 * const sender = CopySender.create({ self, ledger, alive, send, clock, startTimer })
 * await sender.copy(ledger.add(record)) // copies confirmed so far
 */
export class CopySender<M extends MemberIdentity> {
  readonly #lanes = new Map<string, Lane>()
  readonly #suspectUntilMs = new Map<string, number>()

  private constructor(private readonly opts: CopySenderOptions<M>) {}

  static create<M extends MemberIdentity>(opts: CopySenderOptions<M>): CopySender<M> {
    return new CopySender(opts)
  }

  /** Resolves to true once one copy is confirmed, to false if none could be made. */
  async copy(entry: LedgerEntry): Promise<boolean> {
    for (let round = 0; round < MAX_ROUNDS; round++) {
      const targets = this.#targets()
      const [first, ...others] = targets
      if (!first) return false
      for (const other of others) void this.#push(other, entry, this.#gatherMs)
      if (await this.#push(first, entry)) return true
    }
    return false
  }

  /**
   * Tells the members what is stored and that this node is alive; a member that is
   * new or has missed something gets every pending record.
   */
  async refresh(): Promise<void> {
    const targets = this.#targets()
    const ids = new Set(targets.map(({ incarnation }) => incarnation))
    for (const id of this.#lanes.keys()) {
      if (!ids.has(id)) this.#lanes.delete(id)
    }
    await Promise.all(targets.map((target) => this.#refreshOne(target)))
  }

  async #refreshOne(target: M): Promise<void> {
    const { ledger } = this.opts
    const lane = this.#laneOf(target)
    if (!lane.isFilled) {
      const sent = ledger.pending().map((entry) => this.#push(target, entry))
      const results = await Promise.all(sent)
      lane.isFilled = results.every((copied) => copied)
      return
    }
    const hasNews = ledger.storedBelow !== lane.toldBelow || ledger.pendingCount > 0
    if (!hasNews || lane.isSending) return
    await this.#sendBatch(target, lane, [])
    await this.#drain(target, lane)
  }

  get #gatherMs(): number {
    return this.opts.gatherMs ?? 200
  }

  #push(target: M, entry: LedgerEntry, gatherMs = 0): Promise<boolean> {
    const lane = this.#laneOf(target)
    return new Promise((settle) => {
      lane.waiting.push({ entry, settle })
      if (gatherMs === 0) void this.#drain(target, lane)
      else if (lane.waiting.length === 1) this.#drainLater(target, lane, gatherMs)
    })
  }

  #drainLater(target: M, lane: Lane, gatherMs: number): void {
    this.opts.startTimer(gatherMs, () => {
      void this.#drain(target, lane)
    })
  }

  async #drain(target: M, lane: Lane): Promise<void> {
    if (lane.isSending) return
    while (lane.waiting.length > 0) {
      const group = lane.waiting.splice(0, MAX_BATCH)
      const entries = group.map(({ entry }) => entry)
      const copied = await this.#sendBatch(target, lane, entries)
      // What still waits for a member that failed is better sent to another one.
      const settled = copied ? group : [...group, ...lane.waiting.splice(0)]
      for (const { settle } of settled) settle(copied)
    }
  }

  async #sendBatch(
    target: M,
    lane: Lane,
    entries: readonly LedgerEntry[],
  ): Promise<boolean> {
    const { self, ledger, send, startTimer, timeoutMs = 250 } = this.opts
    const { storedBelow } = ledger
    const batch = { incarnation: self.incarnation, entries, storedBelow }
    lane.isSending = true
    const sent = send(target, batch, timeoutMs).catch(() => undefined)
    const answer = await withTimeout(startTimer, timeoutMs, sent, undefined)
    lane.isSending = false
    if (answer) lane.toldBelow = storedBelow
    else this.#fail(target, lane)
    return answer ?? false
  }

  #fail({ incarnation }: M, lane: Lane): void {
    lane.isFilled = false
    this.#suspectUntilMs.set(incarnation, this.opts.clock() + SUSPECT_MS)
  }

  #targets(): M[] {
    const nowMs = this.opts.clock()
    const alive = this.opts.alive()
    const trusted = alive.filter(
      ({ incarnation }) => (this.#suspectUntilMs.get(incarnation) ?? 0) <= nowMs,
    )
    // A member that failed a moment ago is still better than no copy.
    const usable = trusted.length > 0 ? trusted : alive
    return chooseCopyTargets(this.opts.self, usable, this.opts.copies ?? 2)
  }

  #laneOf({ incarnation }: M): Lane {
    const known = this.#lanes.get(incarnation)
    if (known) return known
    const lane = { waiting: [], isSending: false, isFilled: false, toldBelow: 0 }
    this.#lanes.set(incarnation, lane)
    return lane
  }
}
