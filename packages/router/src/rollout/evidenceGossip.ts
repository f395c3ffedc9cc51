/** Gossips evidence between entry instances as versioned values of which the latest wins. */
import type { EvidenceCell, EvidenceTable, LatestValues } from '@wagtailway/core'
import { z } from 'zod'

export interface EvidenceGossipOptions {
  readonly evidence: EvidenceTable
  readonly values: LatestValues
  readonly incarnation: string
}

/**
 * Number of newest epochs published per subject; with two, a change made late in one epoch is
 * still published during the next.
 */
const PUBLISHED_EPOCHS = 2

/** Significant digits of a published sum. */
const SIGNIFICANT_DIGITS = 6

/** Array of cells; each consists of its epoch, its sequence number and its values. */
const cellsSchema = z.array(z.array(z.number()))

/**
 * Publishes this instance's evidence and merges that of other instances.
 *
 * @example
 * const gossip = EvidenceGossip.create({ evidence, values, incarnation })
 * gossip.publish()
 * gossip.applyPublished(['rollout summariser@v2#1 panel/dossier'])
 */
export class EvidenceGossip {
  /** Newest cells of this instance by subject. */
  readonly #ownCells = new Map<string, EvidenceCell[]>()
  /** Last merged version by source and subject. */
  readonly #appliedVersions = new Map<string, number>()
  #version = 0

  private constructor(private readonly opts: EvidenceGossipOptions) {}

  static create(opts: EvidenceGossipOptions): EvidenceGossip {
    return new EvidenceGossip(opts)
  }

  /** Publishes the subjects that changed since the last call. */
  publish(): void {
    const { evidence, values, incarnation } = this.opts
    const changed = new Set<string>()
    for (const cell of evidence.takeChanged()) {
      if (!isShared(cell.subject)) continue
      const known = this.#ownCells.get(cell.subject) ?? []
      const otherEpochs = known.filter(({ epoch }) => epoch !== cell.epoch)
      const sorted = [...otherEpochs, cell].toSorted((a, b) => a.epoch - b.epoch)
      this.#ownCells.set(cell.subject, sorted.slice(-PUBLISHED_EPOCHS))
      changed.add(cell.subject)
    }
    for (const subject of changed) {
      this.#version += 1
      const value = encode(this.#ownCells.get(subject) ?? [])
      values.publish({ key: subject, incarnation, version: this.#version, value })
    }
  }

  /** Merges the evidence that other instances have published on these subjects. */
  applyPublished(subjects: Iterable<string>): void {
    const { evidence, values, incarnation } = this.opts
    for (const subject of subjects) {
      for (const { incarnation: source, version, value } of values.getAll(subject)) {
        const key = `${source} ${subject}`
        if (source === incarnation || this.#appliedVersions.get(key) === version) continue
        this.#appliedVersions.set(key, version)
        evidence.merge(decode(source, subject, value))
      }
    }
  }
}

/** Timing and escalation evidence is not shared: each node collects enough of it by itself. */
function isShared(subject: string): boolean {
  return subject.startsWith('rollout ') || subject.startsWith('quality ')
}

function encode(cells: readonly EvidenceCell[]): string {
  return JSON.stringify(
    cells.map(({ epoch, sequence, values }) => [
      epoch,
      sequence,
      ...values.map((value) => Number(value.toPrecision(SIGNIFICANT_DIGITS))),
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
