/**
 * Sends claims to the owner of their range: the node that groups the range's writes.
 *
 * Rendezvous hashing over the alive members determines the owner. Owners only reduce
 * conflicts: if nodes see different members, or the owner is frozen or its response is
 * lost, the node claims at its own table under the same holder, and the conditional
 * update decides.
 */
import type { Clock } from '../clock.js'
import { withTimeout, type StartTimer } from '../csp/timers.js'
import { rendezvous } from '../hash.js'
import type { ClaimNote, ClaimRequest, ClaimTable, ClaimVerdict } from './claimTable.js'

/** A member that can own ranges. */
export interface ClaimOwner {
  readonly node: string
}

export interface ClaimRouterOptions<M extends ClaimOwner> {
  readonly table: ClaimTable
  readonly self: ClaimOwner
  /** Other members that are alive. */
  readonly aliveMembers: () => readonly M[]
  /** Sends a claim to another member; rejects if there is no response. */
  readonly send: (
    member: M,
    request: ClaimRequest,
    timeoutMs: number,
  ) => Promise<ClaimVerdict>
  /** Sends a note on a claim to another member; rejects if there is no response. */
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
   * Timeout of a claim sent to another member before this node's table is used instead,
   * in milliseconds; longer than the interval between two writes of a range.
   * @default 800
   */
  readonly ownerTimeoutMs?: number
  /** Called once for each claim that the owner did not decide. */
  readonly onFallback?: () => void
}

/** Default timeout of a claim, including the fallback, in milliseconds. */
const CLAIM_TIMEOUT_MS = 2_000

/** Time for which a member that did not respond owns no ranges, in milliseconds. */
const SUSPICION_MS = 3_000

/**
 * Claims through the range's owner, falling back to this node's own table.
 *
 * @example
 * const router = ClaimRouter.create({ table, self, aliveMembers, send, sendNote, ...deps })
 * const verdict = await router.claim({ key: 'note-17', holder: requestId, value: '' })
 */
export class ClaimRouter<M extends ClaimOwner> {
  readonly #suspectUntilMs = new Map<string, number>()

  private constructor(private readonly opts: ClaimRouterOptions<M>) {}

  static create<M extends ClaimOwner>(opts: ClaimRouterOptions<M>): ClaimRouter<M> {
    return new ClaimRouter(opts)
  }

  /**
   * Claims a key; a verdict other than granted means that the request must not be sent.
   */
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
    const remainingMs = deadlineMs - this.opts.clock()
    if (remainingMs <= 0) return { type: 'unavailable' }
    return this.opts.table.claim(request, remainingMs)
  }

  /** Number of ranges that this node owns. */
  get ownedRanges(): number {
    let owned = 0
    for (let i = 0; i < this.opts.table.rangeCount; i++) {
      if (!this.#ownerOfRange(`r${i}`)) owned += 1
    }
    return owned
  }

  /**
   * Sends a note on a claim to the range's owner, falling back to this node's own table.
   */
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

  /** Claims at the owner; unavailable if it doesn't respond in time. */
  async #claimAt(
    owner: M,
    request: ClaimRequest,
    deadlineMs: number,
  ): Promise<ClaimVerdict> {
    const { clock, startTimer, send, ownerTimeoutMs = 800 } = this.opts
    const ownerWaitMs = Math.min(ownerTimeoutMs, deadlineMs - clock())
    const response = send(owner, request, ownerWaitMs).catch(() => undefined)
    const verdict = await withTimeout(startTimer, ownerWaitMs, response, undefined)
    if (verdict) return verdict
    this.#suspect(owner)
    return { type: 'unavailable' }
  }

  /** The member that owns the key's range; `undefined` if it is this node. */
  #ownerOf(key: string): M | undefined {
    return this.#ownerOfRange(this.opts.table.rangeOf(key))
  }

  /** Selects the owner among this node, given as `undefined`, and the members not suspected. */
  #ownerOfRange(range: string): M | undefined {
    const nowMs = this.opts.clock()
    const isNotSuspected = ({ node }: ClaimOwner): boolean =>
      (this.#suspectUntilMs.get(node) ?? nowMs) <= nowMs
    const candidates = this.opts.aliveMembers().filter(isNotSuspected)
    const possibleOwners: (M | undefined)[] = [undefined, ...candidates]
    const idOf = (member: M | undefined): string => (member ?? this.opts.self).node
    return rendezvous(range, possibleOwners, idOf)[0]
  }

  #suspect({ node }: ClaimOwner): void {
    this.#suspectUntilMs.set(node, this.opts.clock() + SUSPICION_MS)
  }
}
