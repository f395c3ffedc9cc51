/**
 * Reconciles the declarations of all owners into one configuration.
 *
 * The result depends only on the set of documents and on the last good
 * configuration, never on the order of the documents. Of a document with errors only
 * the withdrawals take effect; apart from these, the last accepted declarations of its
 * owner stay in force.
 */
import { createFinding } from './createFinding.js'
import {
  checkReferences,
  checkRemovals,
  type CrossCheckInput,
  type OwnerPart,
} from './crossRules.js'
import { checkDocument } from './documentRules.js'
import { EMPTY_CONFIG, versionKey, type EffectiveConfig } from './effective.js'
import { errorsOf, type Finding } from './findings.js'
import { Grants, ROOT_OWNER, checkGrants } from './grants.js'
import { mergeParts, partOfDocument, partOfOwner } from './mergeParts.js'
import type { SourcedDocument } from './parseDocument.js'

export interface ReconcileResult {
  readonly effective: EffectiveConfig
  /** Sorted by owner, source and line. */
  readonly findings: readonly Finding[]
}

/**
 * Computes the configuration in force.
 *
 * @param documents One document per owner; several are reported as errors.
 * @param lastGood Configuration that has been in force so far.
 * @param unreadable Findings about documents that can't be read; the last accepted
 * declarations of their owners stay in force.
 *
 * @example
 * const { effective, findings } = reconcile(documents, EMPTY_CONFIG)
 */
export function reconcile(
  documents: readonly SourcedDocument[],
  lastGood: EffectiveConfig = EMPTY_CONFIG,
  unreadable: readonly Finding[] = [],
): ReconcileResult {
  const reconciliation = Reconciliation.create(documents, lastGood, unreadable)
  reconciliation.checkDocuments()
  reconciliation.checkCrossReferences()
  return reconciliation.result()
}

/** State of one reconciliation: documents by owner, rejected owners and findings. */
class Reconciliation {
  readonly #documentsByOwner: ReadonlyMap<string, readonly SourcedDocument[]>
  readonly #rejected = new Set<string>()
  readonly #findings: Finding[] = []
  readonly #grants: Grants
  /** Warnings of the last pass only; those of earlier passes may no longer apply. */
  #warnings: Finding[] = []

  private constructor(
    documents: readonly SourcedDocument[],
    private readonly lastGood: EffectiveConfig,
    unreadable: readonly Finding[],
  ) {
    this.#documentsByOwner = groupByOwner(documents, ownersOf(lastGood))
    this.#recordErrors(unreadable)
    this.#rejectDuplicates()
    this.#grants = this.#effectiveGrants()
  }

  static create(
    documents: readonly SourcedDocument[],
    lastGood: EffectiveConfig,
    unreadable: readonly Finding[],
  ): Reconciliation {
    return new Reconciliation(documents, lastGood, unreadable)
  }

  /** Rejects documents that have errors of their own. */
  checkDocuments(): void {
    for (const [owner, [sourced]] of this.#documentsByOwner) {
      if (!sourced || this.#rejected.has(owner)) continue
      this.#recordErrors(checkDocument(sourced, this.#grants))
    }
  }

  /**
   * Rejects documents that contradict each other, pass by pass, until the remaining
   * ones are consistent. Removals are checked first, so that the error goes to the owner
   * who removes something and not to the owner who uses it.
   */
  checkCrossReferences(): void {
    for (;;) {
      const input = this.#crossCheckInput()
      if (this.#recordErrors(checkRemovals(input))) continue
      const referenceFindings = checkReferences(input)
      this.#warnings = referenceFindings.filter(({ severity }) => severity === 'warning')
      if (!this.#recordErrors(errorsOf(referenceFindings))) return
    }
  }

  result(): ReconcileResult {
    const findings = [...this.#findings, ...this.#warnings].toSorted(compareFindings)
    return { effective: this.#mergeOwnerParts(), findings }
  }

  /** Records errors and rejects their owners' documents; returns whether there were any. */
  #recordErrors(findings: readonly Finding[]): boolean {
    this.#findings.push(...findings)
    for (const { owner } of findings) this.#rejected.add(owner)
    return findings.length > 0
  }

  #rejectDuplicates(): void {
    for (const [owner, documents] of this.#documentsByOwner) {
      if (documents.length < 2) continue
      const sources = documents.map(({ source }) => source).join(', ')
      const message = `owner "${owner}" has ${documents.length} documents (${sources}); keep one`
      this.#recordErrors(
        documents.map((d) => createFinding(d, 'duplicate', ['owner'], message)),
      )
    }
  }

  #effectiveGrants(): Grants {
    const root = this.#documentsByOwner.get(ROOT_OWNER)?.[0]
    const usable =
      root && !this.#rejected.has(ROOT_OWNER) && checkGrants(root).length === 0
    return Grants.create(usable ? root.document.grants : this.lastGood.grants)
  }

  #crossCheckInput(): CrossCheckInput {
    const parts = new Map<string, OwnerPart>()
    for (const [owner, [sourced]] of this.#documentsByOwner) {
      parts.set(owner, {
        owner,
        sourced,
        usesNewDocument: !this.#rejected.has(owner),
      })
    }
    return { parts, merged: this.#mergeOwnerParts(), lastGood: this.lastGood }
  }

  #mergeOwnerParts(): EffectiveConfig {
    const parts = [...this.#documentsByOwner].map(([owner, [sourced]]) => {
      if (sourced && !this.#rejected.has(owner)) return partOfDocument(sourced.document)
      const lastPart = partOfOwner(this.lastGood, owner, owner === ROOT_OWNER)
      return { ...lastPart, withdrawals: this.#mergeWithdrawals(owner, lastPart) }
    })
    return mergeParts(parts, this.#grants)
  }

  /**
   * Adds the withdrawals of a rejected document to those of the owner that are in force:
   * they take effect despite the errors, if the model is granted to the owner.
   */
  #mergeWithdrawals(
    owner: string,
    lastPart: EffectiveConfig,
  ): EffectiveConfig['withdrawals'] {
    const documents = this.#documentsByOwner.get(owner) ?? []
    const declared = documents
      .flatMap(({ document }) => partOfDocument(document).withdrawals)
      .filter(({ model }) => this.#grants.ownerOf('models', model) === owner)
    const seenKeys = new Set(lastPart.withdrawals.map(keyOfWithdrawal))
    const added = declared.filter((w) => {
      const isNew = !seenKeys.has(keyOfWithdrawal(w))
      seenKeys.add(keyOfWithdrawal(w))
      return isNew
    })
    return [...lastPart.withdrawals, ...added]
  }
}

/**
 * Groups documents by owner, sorted by owner name. A known owner without a document gets
 * an empty one.
 */
function groupByOwner(
  documents: readonly SourcedDocument[],
  knownOwners: readonly string[],
): Map<string, readonly SourcedDocument[]> {
  const ownersWithDocument = new Set(documents.map(({ document }) => document.owner))
  const emptyDocuments = knownOwners
    .filter((owner) => !ownersWithDocument.has(owner))
    .map(emptyDocument)
  const sorted = [...documents, ...emptyDocuments].toSorted(compareDocuments)
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
