/**
 * Sends claims to the node that groups the writes of their range.
 *
 * Rendezvous hashing over the members alive names that node. It only saves
 * conflicts: when views differ, when it is frozen or its answer gets lost, the
 * holder claims at its own table with the same holder name, and the conditional
 * update decides.
 */
import type { Clock } from '../clock.js'
import { withTimeout, type StartTimer } from '../csp/timers.js'
import { rendezvous } from '../hash.js'
import type { ClaimNote, ClaimRequest, ClaimTable, ClaimVerdict } from './claimTable.js'

/** A member that can group writes. */
export interface ClaimOwner {
  readonly node: string
}

export interface ClaimRouterOptions<M extends ClaimOwner> {
  readonly table: ClaimTable
  readonly self: ClaimOwner
  /** Other members that are alive. */
  readonly aliveMembers: () => readonly M[]
  /** Claims at another member; rejects if there was no answer. */
  readonly send: (
    member: M,
    request: ClaimRequest,
    timeoutMs: number,
  ) => Promise<ClaimVerdict>
  /** Tells another member what became of a claim; rejects if there was no answer. */
  readonly sendNote: (
    member: M,
    key: string,
    holder: string,
    note: ClaimNote,
  ) => Promise<void>
  /** Monotonic clock. */
  readonly clock: Clock
  readonly startTimer: StartTimer
  /**
   * Longest wait for another member before the own table is asked, in milliseconds;
   * longer than the pause between two writes of a range.
   * @default 800
   */
  readonly ownerTimeoutMs?: number
  /** Called once for each claim that the owner did not decide. */
  readonly onFallback?: () => void
}

/** Longest wait of a whole claim, in milliseconds. */
const CLAIM_TIMEOUT_MS = 2_000

/** Time for which a member that did not answer is passed over, in milliseconds. */
const SUSPECT_MS = 3_000

/**
 * Claims through the range's owner, else by the node itself.
 *
 * @example
 * const router = ClaimRouter.create({ table, self, alive, send, sendNote, clock, startTimer })
 * const verdict = await router.claim({ key: 'note-17', holder: requestId, value: '' })
 */
export class ClaimRouter<M extends ClaimOwner> {
  readonly #suspectUntilMs = new Map<string, number>()

  private constructor(private readonly opts: ClaimRouterOptions<M>) {}

  static create<M extends ClaimOwner>(opts: ClaimRouterOptions<M>): ClaimRouter<M> {
    return new ClaimRouter(opts)
  }

  /** Claims a key; a verdict other than granted means that the request must not be sent. */
  async claim(
    request: ClaimRequest,
    timeoutMs = CLAIM_TIMEOUT_MS,
  ): Promise<ClaimVerdict> {
    const deadlineMs = this.opts.clock() + timeoutMs
    const owner = this.#ownerOf(request.key)
    if (owner) {
      const verdict = await this.#claimAt(owner, request, deadlineMs)
      if (verdict.type !== 'unavailable') return verdict
      this.opts.onFallback?.()
    }
    const leftMs = deadlineMs - this.opts.clock()
    if (leftMs <= 0) return { type: 'unavailable' }
    return this.opts.table.claim(request, leftMs)
  }

  /** Number of ranges whose writes this node groups. */
  get ownedRanges(): number {
    let owned = 0
    for (let i = 0; i < this.opts.table.rangeCount; i++) {
      if (!this.#ownerOfRange(`r${i}`)) owned += 1
    }
    return owned
  }

  /** Says what became of a claim, to the range's owner and else to the own table. */
  note(key: string, holder: string, note: ClaimNote): void {
    const owner = this.#ownerOf(key)
    if (!owner) {
      this.opts.table.note(key, holder, note)
      return
    }
    this.opts.sendNote(owner, key, holder, note).catch(() => {
      this.#suspect(owner)
      this.opts.table.note(key, holder, note)
    })
  }

  /** Asks the owner; no answer, or none in time, counts as unavailable. */
  async #claimAt(
    owner: M,
    request: ClaimRequest,
    deadlineMs: number,
  ): Promise<ClaimVerdict> {
    const { clock, startTimer, send, ownerTimeoutMs = 800 } = this.opts
    const waitMs = Math.min(ownerTimeoutMs, deadlineMs - clock())
    const sent = send(owner, request, waitMs).catch(() => undefined)
    const verdict = await withTimeout(startTimer, waitMs, sent, undefined)
    if (verdict) return verdict
    this.#suspect(owner)
    return { type: 'unavailable' }
  }

  /** The member that groups the range's writes; `undefined` if it is this node. */
  #ownerOf(key: string): M | undefined {
    return this.#ownerOfRange(this.opts.table.rangeOf(key))
  }

  #ownerOfRange(range: string): M | undefined {
    const nowMs = this.opts.clock()
    const isTrusted = ({ node }: ClaimOwner): boolean =>
      (this.#suspectUntilMs.get(node) ?? nowMs) <= nowMs
    const others = this.opts.aliveMembers().filter(isTrusted)
    const nodes: (M | undefined)[] = [undefined, ...others]
    const idOf = (member: M | undefined): string => (member ?? this.opts.self).node
    return rendezvous(range, nodes, idOf)[0]
  }

  #suspect({ node }: ClaimOwner): void {
    this.#suspectUntilMs.set(node, this.opts.clock() + SUSPECT_MS)
  }
}
