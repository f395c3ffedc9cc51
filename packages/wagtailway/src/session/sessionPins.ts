/** Decides the version of sessions whose callers carry no token. */
import type { Claims } from '../claim/grant.js'
import type { PinBacklog } from './pinBacklog.js'

export interface FirstRequest {
  /** Key of the session across workspaces and classes. */
  readonly key: string
  readonly holder: string
  /** What this node would choose. */
  readonly proposed: string
  /** What every node with the same configuration chooses. */
  readonly published: string
  /** Whether there is no other choice at any node, so that the pin may be written later. */
  readonly isOnlyChoice: boolean
}

/** How a version was decided. */
export type PinSource = 'granted' | 'held' | 'backlog' | 'only_choice' | 'published'

export interface SessionPin {
  readonly version: string
  readonly source: PinSource
}

export interface SessionPinsOptions {
  readonly claims: Pick<Claims, 'claim'>
  readonly backlog: PinBacklog
  /**
   * Whether it is proved that no instance reaches the platform, so that no other
   * one can claim either; taken for granted if absent.
   */
  readonly isPlatformUnavailable?: () => boolean
}

/**
 * Pins sessions by claims, or behind the answers while nobody can claim.
 *
 * @example
 * const pins = SessionPins.create({ claims, backlog })
 * const pin = await pins.pin(first, 2_000)
 */
export class SessionPins {
  private constructor(private readonly opts: SessionPinsOptions) {}

  static create(opts: SessionPinsOptions): SessionPins {
    return new SessionPins(opts)
  }

  /** Decides the version; `undefined` if another instance might decide otherwise. */
  async pin(first: FirstRequest, timeoutMs?: number): Promise<SessionPin | undefined> {
    const waiting = this.opts.backlog.versionOf(first.key)
    if (waiting !== undefined) return { version: waiting, source: 'backlog' }
    if (first.isOnlyChoice) return this.#later(first, 'only_choice')
    const { key, holder, proposed: value } = first
    const verdict = await this.opts.claims.claim({ key, holder, value }, timeoutMs)
    if (verdict.type === 'granted') return { version: value, source: 'granted' }
    if (verdict.type === 'held') return { version: verdict.value, source: 'held' }
    const isAway = this.opts.isPlatformUnavailable?.() ?? true
    return isAway ? this.#later(first, 'published') : undefined
  }

  /** Writes what still waits. */
  flush(): Promise<void> {
    return this.opts.backlog.flush()
  }

  #later(
    { key, holder, published }: FirstRequest,
    source: 'only_choice' | 'published',
  ): SessionPin {
    this.opts.backlog.add({ key, holder, value: published })
    return { version: published, source }
  }
}
