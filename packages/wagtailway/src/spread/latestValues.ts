/**
 * Values of which the latest of each key and incarnation wins, spread as deltas.
 *
 * Made for counters that only grow: each incarnation publishes its own totals,
 * so taking one in twice, late or out of order changes nothing.
 */
import type { Clock } from '../clock.js'

/** One value of one incarnation. */
export interface LatestValue {
  readonly key: string
  readonly incarnation: string
  /** Grows with each change; a higher one replaces a lower one. */
  readonly version: number
  /** JSON. */
  readonly value: string
}

export interface LatestValuesOptions {
  readonly clock: Clock
  /**
   * Bytes of values in one message.
   * @default 400
   */
  readonly bytesPerMessage?: number
  /**
   * Messages that carry a change onwards from each node.
   * @default 10
   */
  readonly sends?: number
  /**
   * Time without a change after which a value is forgotten, in milliseconds.
   * @default 86_400_000
   */
  readonly forgetMs?: number
}

interface Entry {
  value: LatestValue
  changedAtMs: number
  sendsLeft: number
}

/** Bytes that a value takes besides its texts. */
const OVERHEAD_BYTES = 12

/**
 * Latest values of all incarnations as this node knows them.
 *
 * @example
 * const values = LatestValues.create({ clock: monotonicClock })
 * values.publish({ key: 'dossier|m@v2', incarnation, version: 3, value: '{"count":3}' })
 * values.of('dossier|m@v2')
 */
export class LatestValues {
  readonly #entries = new Map<string, Map<string, Entry>>()
  readonly #pending = new Set<Entry>()
  #refresh: Entry[] = []

  private constructor(private readonly opts: LatestValuesOptions) {}

  static create(opts: LatestValuesOptions): LatestValues {
    return new LatestValues(opts)
  }

  /** Publishes a value of this node's own incarnation. */
  publish(value: LatestValue): void {
    this.#take(value)
  }

  /** Takes in values of a message. */
  receive(values: readonly LatestValue[]): void {
    for (const value of values) this.#take(value)
  }

  /** The latest value of each incarnation. */
  getAll(key: string): LatestValue[] {
    return [...(this.#entries.get(key)?.values() ?? [])].map(({ value }) => value)
  }

  /** Values for the next message: changes first, then old ones in turn as a repair. */
  next(): LatestValue[] {
    let left = this.opts.bytesPerMessage ?? 400
    const chosen: LatestValue[] = []
    for (const entry of [...this.#pending, ...this.#repairs()]) {
      left -= sizeOf(entry.value)
      if (left < 0) break
      chosen.push(entry.value)
      entry.sendsLeft -= 1
      if (entry.sendsLeft <= 0) this.#pending.delete(entry)
    }
    return chosen
  }

  /** Forgets values that have not changed for long. */
  forgetOld(): void {
    const oldest = this.opts.clock() - (this.opts.forgetMs ?? 86_400_000)
    for (const byIncarnation of this.#entries.values()) {
      for (const [incarnation, entry] of byIncarnation) {
        if (entry.changedAtMs < oldest) byIncarnation.delete(incarnation)
      }
    }
  }

  #take(value: LatestValue): void {
    const byIncarnation = this.#entries.get(value.key) ?? new Map<string, Entry>()
    this.#entries.set(value.key, byIncarnation)
    const known = byIncarnation.get(value.incarnation)
    if (known && known.value.version >= value.version) return
    if (known) this.#pending.delete(known)
    const { key, incarnation, version, value: json } = value
    const entry = {
      value: { key, incarnation, version, value: json },
      changedAtMs: this.opts.clock(),
      sendsLeft: this.opts.sends ?? 10,
    }
    byIncarnation.set(incarnation, entry)
    this.#pending.add(entry)
  }

  /** One old value a message, so that a node that missed a change gets it in the end. */
  #repairs(): Entry[] {
    if (this.#refresh.length === 0) {
      this.#refresh = [...this.#entries.values()].flatMap((map) => [...map.values()])
    }
    const entry = this.#refresh.pop()
    return entry && !this.#pending.has(entry) ? [entry] : []
  }
}

function sizeOf({ key, incarnation, value }: LatestValue): number {
  return key.length + incarnation.length + value.length + OVERHEAD_BYTES
}
