/** Session pins that requests already use although they are not written yet. */
import type { ClaimRequest, ClaimVerdict } from '../claim/claimTable.js'

export interface PinBacklogOptions {
  readonly claim: (request: ClaimRequest) => Promise<ClaimVerdict>
  /**
   * Maximum number of unwritten pins; when it is reached, the oldest is dropped.
   * @default 20_000
   */
  readonly maxPins?: number
  /**
   * Called for a pin whose session another node has pinned to a different version
   * meanwhile.
   */
  readonly onConflict?: () => void
  /** Called for a pin that was dropped because the backlog was full. */
  readonly onDrop?: () => void
}

/** Maximum number of pins written in parallel. */
const MAX_PARALLEL_WRITES = 64

/**
 * Queue of pins to write later (write-behind).
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

  /** The version of a session whose pin is in the backlog, else `undefined`. */
  versionOf(key: string): string | undefined {
    return this.#pins.get(key)?.value
  }

  /** Adds a pin unless the backlog already holds one for the same session. */
  add(pin: ClaimRequest): void {
    if (this.#pins.has(pin.key)) return
    const oldest = this.#pins.keys().next()
    if (this.#pins.size >= (this.opts.maxPins ?? 20_000) && !oldest.done) {
      this.#pins.delete(oldest.value)
      this.opts.onDrop?.()
    }
    this.#pins.set(pin.key, pin)
  }

  /** Writes the pins in the backlog; pins that can't be written now stay in it. */
  async flush(): Promise<void> {
    while (this.#pins.size > 0) {
      const batch = [...this.#pins.values()].slice(0, MAX_PARALLEL_WRITES)
      const results = await Promise.all(batch.map((pin) => this.#write(pin)))
      if (results.includes(false)) return
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
