/** Session pins that were answered before they were written, to be written later. */
import type { ClaimRequest, ClaimVerdict } from '../claim/claimTable.js'

export interface PinBacklogOptions {
  readonly claim: (request: ClaimRequest) => Promise<ClaimVerdict>
  /**
   * Pins kept while the platform is away; the oldest are dropped first.
   * @default 20_000
   */
  readonly maxPins?: number
  /** Called for a pin that another node has meanwhile written with another version. */
  readonly onConflict?: () => void
  /** Called for a pin that was dropped for want of room. */
  readonly onDrop?: () => void
}

/** Pins written at the same time. */
const MAX_GROUP = 64

/**
 * Writes pins behind the answers.
 *
 * @example
 * const backlog = PinBacklog.create({ claim: (request) => claims.claim(request) })
 * backlog.add({ key: 'panel/dossier/s1', holder: requestId, value: 'summariser@v1' })
 * await backlog.flush()
 */
export class PinBacklog {
  readonly #pins = new Map<string, ClaimRequest>()

  private constructor(private readonly opts: PinBacklogOptions) {}

  static create(opts: PinBacklogOptions): PinBacklog {
    return new PinBacklog(opts)
  }

  get size(): number {
    return this.#pins.size
  }

  /** The version of a session whose pin waits here. */
  versionOf(key: string): string | undefined {
    return this.#pins.get(key)?.value
  }

  /** Adds a pin; the first of a session stands. */
  add(pin: ClaimRequest): void {
    if (this.#pins.has(pin.key)) return
    const oldest = this.#pins.keys().next()
    if (this.#pins.size >= (this.opts.maxPins ?? 20_000) && !oldest.done) {
      this.#pins.delete(oldest.value)
      this.opts.onDrop?.()
    }
    this.#pins.set(pin.key, pin)
  }

  /** Writes what waits; pins that can't be written now stay. */
  async flush(): Promise<void> {
    while (this.#pins.size > 0) {
      const group = [...this.#pins.values()].slice(0, MAX_GROUP)
      const verdicts = await Promise.all(group.map((pin) => this.#write(pin)))
      if (verdicts.includes(false)) return
    }
  }

  async #write(pin: ClaimRequest): Promise<boolean> {
    const verdict = await this.opts.claim(pin)
    if (verdict.type === 'unavailable') return false
    if (verdict.type === 'held' && verdict.value !== pin.value) this.opts.onConflict?.()
    this.#pins.delete(pin.key)
    return true
  }
}
