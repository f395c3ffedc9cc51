/** Carries evidence between entry instances as values of which the latest wins. */
import type { EvidenceCell, EvidenceTable, LatestValues } from '@wagtailway/core'
import { z } from 'zod'

export interface EvidenceSpreadOptions {
  readonly evidence: EvidenceTable
  readonly values: LatestValues
  readonly incarnation: string
}

/** Epochs of a subject that are published; a change late in one epoch still travels in the next. */
const PUBLISHED_EPOCHS = 2

/** Digits of a published sum. */
const PRECISION = 6

/** Epoch, sequence and values of each cell. */
const cellsSchema = z.array(z.array(z.number()))

/**
 * Publishes own evidence and takes in that of others.
 *
 * @example
 * const spread = EvidenceSpread.create({ evidence, values, incarnation })
 * spread.publish()
 * spread.receive(['rollout summariser@v2#1 panel/dossier'])
 */
export class EvidenceSpread {
  /** Newest own cells of each subject. */
  readonly #own = new Map<string, EvidenceCell[]>()
  /** Versions of values already taken in. */
  readonly #seen = new Map<string, number>()
  #version = 0

  private constructor(private readonly opts: EvidenceSpreadOptions) {}

  static create(opts: EvidenceSpreadOptions): EvidenceSpread {
    return new EvidenceSpread(opts)
  }

  /** Publishes the subjects that changed since the last call. */
  publish(): void {
    const { evidence, values, incarnation } = this.opts
    const changed = new Set<string>()
    for (const cell of evidence.takeChanged()) {
      if (!isShared(cell.subject)) continue
      const known = this.#own.get(cell.subject) ?? []
      const others = known.filter(({ epoch }) => epoch !== cell.epoch)
      const newest = [...others, cell].toSorted((a, b) => a.epoch - b.epoch)
      this.#own.set(cell.subject, newest.slice(-PUBLISHED_EPOCHS))
      changed.add(cell.subject)
    }
    for (const subject of changed) {
      this.#version += 1
      const value = encode(this.#own.get(subject) ?? [])
      values.publish({ key: subject, incarnation, version: this.#version, value })
    }
  }

  /** Takes in what others have published on these subjects. */
  receive(subjects: Iterable<string>): void {
    const { evidence, values, incarnation } = this.opts
    for (const subject of subjects) {
      for (const { incarnation: source, version, value } of values.getAll(subject)) {
        const key = `${source} ${subject}`
        if (source === incarnation || this.#seen.get(key) === version) continue
        this.#seen.set(key, version)
        evidence.merge(decode(source, subject, value))
      }
    }
  }
}

/** Times and escalations are measured in plenty at each node by itself. */
function isShared(subject: string): boolean {
  return subject.startsWith('rollout ') || subject.startsWith('quality ')
}

function encode(cells: readonly EvidenceCell[]): string {
  return JSON.stringify(
    cells.map(({ epoch, sequence, values }) => [
      epoch,
      sequence,
      ...values.map((value) => Number(value.toPrecision(PRECISION))),
    ]),
  )
}

function decode(source: string, subject: string, text: string): EvidenceCell[] {
  const parsed = cellsSchema.safeParse(JSON.parse(text))
  if (!parsed.success) return []
  return parsed.data.map(([epoch = 0, sequence = 0, ...values]) => ({
    source,
    subject,
    epoch,
    sequence,
    values,
  }))
}
