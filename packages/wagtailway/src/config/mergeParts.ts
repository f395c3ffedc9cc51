/** Merges the declarations of all owners into one configuration. */
import { classKey, type EffectiveConfig } from './effective.js'
import type { GrantKind, Grants } from './grants.js'
import type { DeclarationDocument } from './schema.js'

interface Owned {
  readonly owner: string
}

/** The declarations of a document, each with the document's owner. */
export function partOfDocument(document: DeclarationDocument): EffectiveConfig {
  const { owner } = document
  const withOwner = <T>(items: readonly T[]): (T & Owned)[] =>
    items.map((item) => ({ ...item, owner }))
  return {
    grants: document.grants,
    workspaces: withOwner(document.workspaces),
    models: withOwner(document.models),
    services: withOwner(document.services),
    classes: withOwner(document.classes),
    rollouts: withOwner(document.rollouts),
    withdrawals: withOwner(document.withdrawals),
  }
}

/** The declarations of one owner in a configuration; grants belong to the root owner. */
export function partOfOwner(
  effective: EffectiveConfig,
  owner: string,
  isRoot: boolean,
): EffectiveConfig {
  const ownItems = <T extends Owned>(items: readonly T[]): T[] =>
    items.filter((item) => item.owner === owner)
  return {
    grants: isRoot ? effective.grants : [],
    workspaces: ownItems(effective.workspaces),
    models: ownItems(effective.models),
    services: ownItems(effective.services),
    classes: ownItems(effective.classes),
    rollouts: ownItems(effective.rollouts),
    withdrawals: ownItems(effective.withdrawals),
  }
}

/**
 * Merges parts in the order given. If a name was granted to another owner, the former
 * owner's declaration stays in force until the new owner declares the name.
 *
 * @example
 * mergeParts([root, office, coop], grants)
 */
export function mergeParts(
  parts: readonly EffectiveConfig[],
  grants: Grants,
): EffectiveConfig {
  const preferGranted = <T extends Owned>(
    kind: GrantKind,
    items: readonly T[],
    keyOf: (item: T) => string,
    nameOf: (item: T) => string,
  ): T[] => {
    const isGranted = (item: T): boolean =>
      grants.ownerOf(kind, nameOf(item)) === item.owner
    const grantedKeys = new Set(items.filter(isGranted).map(keyOf))
    return items.filter((item) => isGranted(item) || !grantedKeys.has(keyOf(item)))
  }
  const concat = <K extends keyof EffectiveConfig>(
    key: K,
  ): EffectiveConfig[K][number][] =>
    parts.flatMap((part) => part[key] as EffectiveConfig[K][number][])
  return {
    grants: concat('grants'),
    workspaces: preferGranted('workspaces', concat('workspaces'), nameOf, nameOf),
    models: preferGranted('models', concat('models'), nameOf, nameOf),
    services: preferGranted('services', concat('services'), nameOf, nameOf),
    classes: preferGranted(
      'workspaces',
      concat('classes'),
      (c) => classKey(c.workspace, c.name),
      (c) => c.workspace,
    ),
    rollouts: preferGranted('models', concat('rollouts'), modelOf, modelOf),
    // A withdrawal counts whichever owner declared it, so transferring a model can't undo it.
    withdrawals: concat('withdrawals'),
  }
}

function nameOf(item: { readonly name: string }): string {
  return item.name
}

function modelOf(item: { readonly model: string }): string {
  return item.model
}
