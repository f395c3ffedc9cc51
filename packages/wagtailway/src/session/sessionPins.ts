/** Decides the version of sessions whose callers send no session token. */
import type { Claims } from '../claim/grant.js'
import type { PinBacklog } from './pinBacklog.js'

export interface PinRequest {
  /** Key of the session across workspaces and classes. */
  readonly key: string
  /** Identifies the request as holder of the claim. */
  readonly holder: string
  /** Version that this node prefers. */
  readonly proposed: string
  /** Version that every node with the same configuration chooses. */
  readonly published: string
  /** Whether no node can choose another version, so that the pin may be written later. */
  readonly isOnlyChoice: boolean
}

/**
 * How a version was decided; `published` stands for the deterministic version while no claim
 * can be made.
 */
export type PinSource = 'granted' | 'held' | 'backlog' | 'only_choice' | 'published'

export interface SessionPin {
  readonly version: string
  readonly source: PinSource
}

export interface SessionPinsOptions {
  readonly claims: Pick<Claims, 'claim'>
  readonly backlog: PinBacklog
  /**
   * Whether it is certain that no entry instance reaches the platform, so that no other
   * instance can claim either; assumed to be true if absent.
   */
  readonly isPlatformUnavailable?: () => boolean
}

/**
 * Pins sessions by claims. While no node can claim, it decides deterministically and
 * queues the claim for a later write.
 *
 * @example
 * const pins = SessionPins.create({ claims, backlog })
 * const pin = await pins.pin(request, 2_000)
 */
export class SessionPins {
  private constructor(private readonly opts: SessionPinsOptions) {}

  static create(opts: SessionPinsOptions): SessionPins {
    return new SessionPins(opts)
  }

  /**
   * Decides the version; `undefined` if another entry instance might choose a different
   * one.
   */
  async pin(request: PinRequest, timeoutMs?: number): Promise<SessionPin | undefined> {
    const backlogged = this.opts.backlog.versionOf(request.key)
    if (backlogged !== undefined) return { version: backlogged, source: 'backlog' }
    if (request.isOnlyChoice) return this.#writeLater(request, 'only_choice')
    const { key, holder, proposed: value } = request
    const verdict = await this.opts.claims.claim({ key, holder, value }, timeoutMs)
    if (verdict.type === 'granted') return { version: value, source: 'granted' }
    if (verdict.type === 'held') return { version: verdict.value, source: 'held' }
    const isUnavailable = this.opts.isPlatformUnavailable?.() ?? true
    return isUnavailable ? this.#writeLater(request, 'published') : undefined
  }

  /** Writes the pins in the backlog. */
  flush(): Promise<void> {
    return this.opts.backlog.flush()
  }

  #writeLater(
    { key, holder, published }: PinRequest,
    source: 'only_choice' | 'published',
  ): SessionPin {
    this.opts.backlog.add({ key, holder, value: published })
    return { version: published, source }
  }
}
