/** Leave for one run of a non-idempotent request. */
import type { Clock } from '../clock.js'
import type { RunState } from '../refusal.js'
import type { ClaimNote, ClaimRequest, ClaimVerdict } from './claimTable.js'

/** Where claims are made: a table or a router of claims. */
export interface Claims {
  readonly claim: (request: ClaimRequest, timeoutMs?: number) => Promise<ClaimVerdict>
  readonly note: (key: string, holder: string, note: ClaimNote) => void
}

export interface GrantOptions {
  readonly claims: Claims
  readonly key: string
  /** Unique for each request, repeats included. */
  readonly holder: string
  /** Monotonic clock. */
  readonly clock: Clock
  /**
   * Time after the start of the claim in which the request may be sent, in
   * milliseconds. Far below the retention time, so that a process that was frozen
   * in between finds its grant lapsed while the key still stands.
   * @default 60_000
   */
  readonly validityMs?: number
}

/**
 * One request's claim on its key.
 *
 * @example
 * const grant = Grant.create({ claims, key: 'note-17', holder: requestId, clock })
 * const verdict = await grant.claim()
 * if (verdict.type === 'granted' && grant.isValid) send()
 * grant.settle('ran')
 */
export class Grant {
  readonly #startMs: number
  #isGranted = false

  private constructor(private readonly opts: GrantOptions) {
    this.#startMs = opts.clock()
  }

  static create(opts: GrantOptions): Grant {
    return new Grant(opts)
  }

  /** Whether the request may be sent at this moment; to be asked right before. */
  get isValid(): boolean {
    const { clock, validityMs: validityMs = 60_000 } = this.opts
    return this.#isGranted && clock() - this.#startMs < validityMs
  }

  async claim(timeoutMs?: number): Promise<ClaimVerdict> {
    const { claims, key, holder } = this.opts
    const verdict = await claims.claim({ key, holder, value: '' }, timeoutMs)
    this.#isGranted = verdict.type === 'granted'
    // A write that was not confirmed may still stand; it must not block a repeat.
    if (verdict.type === 'unavailable') this.settle('not_run')
    return verdict
  }

  /** Says whether the request ran, for later claimants; it is not sent after this. */
  settle(ran: RunState): void {
    const { claims, key, holder } = this.opts
    this.#isGranted = false
    if (ran === 'ran') claims.note(key, holder, 'done')
    // Nothing was sent and nothing will be: the caller may repeat the request.
    if (ran === 'not_run') claims.note(key, holder, 'given_up')
  }
}
