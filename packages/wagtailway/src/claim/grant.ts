/** Permission to execute a non-idempotent request once. */
import type { Clock } from '../clock.js'
import type { RunState } from '../refusal.js'
import type { ClaimNote, ClaimRequest, ClaimVerdict } from './claimTable.js'

/** Where claims are made: a `ClaimTable` or a `ClaimRouter`. */
export interface Claims {
  readonly claim: (request: ClaimRequest, timeoutMs?: number) => Promise<ClaimVerdict>
  readonly note: (key: string, holder: string, note: ClaimNote) => void
}

export interface GrantOptions {
  readonly claims: Claims
  readonly key: string
  /** Unique for each request, including repeated requests with the same key. */
  readonly holder: string
  /** Monotonic clock. */
  readonly clock: Clock
  /**
   * Time after the start of the claim during which the request may be sent, in
   * milliseconds. It is far below the retention time of claims, so that the grant of a
   * process that was frozen meanwhile expires before its key does.
   * @default 60_000
   */
  readonly validityMs?: number
}

/**
 * A request's claim on its key.
 *
 * @example
 * const grant = Grant.create({ claims, key: 'note-17', holder: requestId, clock })
 * const verdict = await grant.claim()
 * if (verdict.type === 'granted' && grant.isValid) send()
 * grant.finish('ran')
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

  /** Whether the request may be sent now; check it right before sending. */
  get isValid(): boolean {
    const { clock, validityMs = 60_000 } = this.opts
    return this.#isGranted && clock() - this.#startMs < validityMs
  }

  async claim(timeoutMs?: number): Promise<ClaimVerdict> {
    const { claims, key, holder } = this.opts
    const verdict = await claims.claim({ key, holder, value: '' }, timeoutMs)
    this.#isGranted = verdict.type === 'granted'
    // An unconfirmed write may have taken effect; it must not block a repeated request.
    if (verdict.type === 'unavailable') this.finish('not_run')
    return verdict
  }

  /**
   * Reports whether the request ran, for later claimants; it must not be sent afterwards.
   */
  finish(ran: RunState): void {
    const { claims, key, holder } = this.opts
    this.#isGranted = false
    if (ran === 'ran') claims.note(key, holder, 'done')
    // The request was not sent and won't be, so the caller may repeat it.
    if (ran === 'not_run') claims.note(key, holder, 'given_up')
  }
}
