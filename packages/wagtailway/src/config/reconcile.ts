/**
 * Reconciles the declarations of all owners into one configuration.
 *
 * The result depends only on the set of documents and on the last good
 * configuration, never on the order of the documents. A document with errors
 * counts for nothing; what its owner last had in force stays.
 */
import {
  checkReferences,
  checkRemovals,
  type CrossCheck,
  type OwnerPart,
} from './crossRules.js'
import { checkDocument } from './documentRules.js'
import { EMPTY_CONFIG, versionKey, type EffectiveConfig } from './effective.js'
import { errorsOf, type Finding } from './findings.js'
import { Grants, ROOT_OWNER, checkGrants } from './grants.js'
import { mergeParts, ownedBy, partOf } from './mergeParts.js'
import type { SourcedDocument } from './parseDocument.js'
import { findingAt } from './report.js'

export interface Reconciled {
  readonly effective: EffectiveConfig
  /** Sorted by owner and place. */
  readonly findings: readonly Finding[]
}

/**
 * Computes the configuration in force.
 *
 * @param documents One document an owner; more than one is a finding.
 * @param lastGood Configuration in force so far.
 * @param unreadable Findings about documents that can't be read; their owners keep
 * what they last had in force.
 *
 * @example
 * const { effective, findings } = reconcile(documents, EMPTY_EFFECTIVE)
 */
export function reconcile(
  documents: readonly SourcedDocument[],
  lastGood: EffectiveConfig = EMPTY_CONFIG,
  unreadable: readonly Finding[] = [],
): Reconciled {
  const round = Round.create(documents, lastGood, unreadable)
  round.checkEach()
  round.checkTogether()
  return round.result()
}

/** Owners, which of their documents still count, and what was found. */
class Round {
  readonly #byOwner: ReadonlyMap<string, readonly SourcedDocument[]>
  readonly #rejected = new Set<string>()
  readonly #findings: Finding[] = []
  readonly #grants: Grants
  /** Warnings of the last check; an earlier round's may no longer hold. */
  #warnings: Finding[] = []

  private constructor(
    documents: readonly SourcedDocument[],
    private readonly lastGood: EffectiveConfig,
    unreadable: readonly Finding[],
  ) {
    this.#byOwner = groupByOwner(documents, ownersOf(lastGood))
    this.#reject(unreadable)
    this.#rejectDuplicates()
    this.#grants = this.#grantsInForce()
  }

  static create(
    documents: readonly SourcedDocument[],
    lastGood: EffectiveConfig,
    unreadable: readonly Finding[],
  ): Round {
    return new Round(documents, lastGood, unreadable)
  }

  /** Rejects documents that are wrong by themselves. */
  checkEach(): void {
    for (const [owner, [sourced]] of this.#byOwner) {
      if (!sourced || this.#rejected.has(owner)) continue
      this.#reject(checkDocument(sourced, this.#grants))
    }
  }

  /**
   * Rejects documents that are wrong together, until the rest fits. Removals go
   * first, so that whoever removes something is at fault, not who uses it.
   */
  checkTogether(): void {
    for (;;) {
      const check = this.#crossCheck()
      if (this.#reject(checkRemovals(check))) continue
      const found = checkReferences(check)
      this.#warnings = found.filter(({ severity }) => severity === 'warning')
      if (!this.#reject(errorsOf(found))) return
    }
  }

  result(): Reconciled {
    const findings = [...this.#findings, ...this.#warnings].toSorted(compareFindings)
    return { effective: this.#merged(), findings }
  }

  /** Notes errors and rejects their owners; returns whether there were any. */
  #reject(findings: readonly Finding[]): boolean {
    this.#findings.push(...findings)
    for (const { owner } of findings) this.#rejected.add(owner)
    return findings.length > 0
  }

  #rejectDuplicates(): void {
    for (const [owner, documents] of this.#byOwner) {
      if (documents.length < 2) continue
      const sources = documents.map(({ source }) => source).join(', ')
      const message = `owner "${owner}" has ${documents.length} documents (${sources}); keep one`
      this.#reject(documents.map((d) => findingAt(d, 'duplicate', ['owner'], message)))
    }
  }

  #grantsInForce(): Grants {
    const root = this.#byOwner.get(ROOT_OWNER)?.[0]
    const usable =
      root && !this.#rejected.has(ROOT_OWNER) && checkGrants(root).length === 0
    return Grants.create(usable ? root.document.grants : this.lastGood.grants)
  }

  #crossCheck(): CrossCheck {
    const parts = new Map<string, OwnerPart>()
    for (const [owner, [sourced]] of this.#byOwner) {
      parts.set(owner, { owner, sourced, isNew: !this.#rejected.has(owner) })
    }
    return { parts, merged: this.#merged(), lastGood: this.lastGood }
  }

  #merged(): EffectiveConfig {
    const parts = [...this.#byOwner].map(([owner, [sourced]]) => {
      if (sourced && !this.#rejected.has(owner)) return ownedBy(sourced.document)
      const last = partOf(this.lastGood, owner, owner === ROOT_OWNER)
      return { ...last, withdrawals: this.#withdrawalsOf(owner, last) }
    })
    return mergeParts(parts, this.#grants)
  }

  /** A withdrawal takes effect though the rest of its document is in error. */
  #withdrawalsOf(owner: string, last: EffectiveConfig): EffectiveConfig['withdrawals'] {
    const documents = this.#byOwner.get(owner) ?? []
    const declared = documents
      .flatMap(({ document }) => ownedBy(document).withdrawals)
      .filter(({ model }) => this.#grants.ownerOf('models', model) === owner)
    const known = new Set(last.withdrawals.map(keyOfWithdrawal))
    const added = declared.filter((w) => {
      const isNew = !known.has(keyOfWithdrawal(w))
      known.add(keyOfWithdrawal(w))
      return isNew
    })
    return [...last.withdrawals, ...added]
  }
}

/** Documents by owner in the order of names; an owner without one declares nothing. */
function groupByOwner(
  documents: readonly SourcedDocument[],
  knownOwners: readonly string[],
): Map<string, readonly SourcedDocument[]> {
  const present = new Set(documents.map(({ document }) => document.owner))
  const gone = knownOwners.filter((owner) => !present.has(owner)).map(emptyDocument)
  const sorted = [...documents, ...gone].toSorted(compareDocuments)
  const groups = new Map<string, SourcedDocument[]>()
  for (const sourced of sorted) {
    const group = groups.get(sourced.document.owner) ?? []
    group.push(sourced)
    groups.set(sourced.document.owner, group)
  }
  return groups
}

function ownersOf(effective: EffectiveConfig): string[] {
  const { grants, ...sections } = effective
  const owners = Object.values(sections).flatMap((items) =>
    items.map(({ owner }) => owner),
  )
  return [...new Set(grants.length > 0 ? [ROOT_OWNER, ...owners] : owners)]
}

function emptyDocument(owner: string): SourcedDocument {
  const document = {
    owner,
    grants: [],
    models: [],
    services: [],
    workspaces: [],
    classes: [],
    rollouts: [],
    withdrawals: [],
  }
  return { source: `declaration/${owner}`, document, lineOf: () => undefined }
}

function keyOfWithdrawal({ model, version }: { model: string; version: string }): string {
  return versionKey(model, version)
}

function compareDocuments(a: SourcedDocument, b: SourcedDocument): number {
  return (
    compareText(a.document.owner, b.document.owner) ||
    compareText(a.source, b.source) ||
    compareText(JSON.stringify(a.document), JSON.stringify(b.document))
  )
}

function compareFindings(a: Finding, b: Finding): number {
  return (
    compareText(a.owner, b.owner) ||
    compareText(a.place.source, b.place.source) ||
    (a.place.line ?? 0) - (b.place.line ?? 0) ||
    compareText(JSON.stringify(a), JSON.stringify(b))
  )
}

function compareText(a: string, b: string): number {
  if (a === b) return 0
  return a < b ? -1 : 1
}
