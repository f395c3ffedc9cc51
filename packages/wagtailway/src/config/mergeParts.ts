/** Puts the parts of all owners together into one configuration. */
import { classKey, type EffectiveConfig } from './effective.js'
import type { GrantKind, Grants } from './grants.js'
import type { DeclarationDocument } from './schema.js'

interface Owned {
  readonly owner: string
}

/** What a document declares, marked with its owner. */
export function ownedBy(document: DeclarationDocument): EffectiveConfig {
  const { owner } = document
  const mark = <T>(items: readonly T[]): (T & Owned)[] =>
    items.map((item) => ({ ...item, owner }))
  return {
    grants: document.grants,
    workspaces: mark(document.workspaces),
    models: mark(document.models),
    services: mark(document.services),
    classes: mark(document.classes),
    rollouts: mark(document.rollouts),
    withdrawals: mark(document.withdrawals),
  }
}

/** The part of a configuration that belongs to one owner; grants are the root's. */
export function partOf(
  effective: EffectiveConfig,
  owner: string,
  isRoot: boolean,
): EffectiveConfig {
  const keep = <T extends Owned>(items: readonly T[]): T[] =>
    items.filter((item) => item.owner === owner)
  return {
    grants: isRoot ? effective.grants : [],
    workspaces: keep(effective.workspaces),
    models: keep(effective.models),
    services: keep(effective.services),
    classes: keep(effective.classes),
    rollouts: keep(effective.rollouts),
    withdrawals: keep(effective.withdrawals),
  }
}

/**
 * Merges parts in the order given. Where a name was granted to another owner, the
 * former owner's declaration counts until the new owner has declared it.
 *
 * @example
 * mergeParts([root, office, coop], grants)
 */
export function mergeParts(
  parts: readonly EffectiveConfig[],
  grants: Grants,
): EffectiveConfig {
  const one = <T extends Owned>(
    kind: GrantKind,
    items: readonly T[],
    keyOf: (item: T) => string,
    nameOf: (item: T) => string,
  ): T[] => {
    const granted = (item: T): boolean =>
      grants.ownerOf(kind, nameOf(item)) === item.owner
    const held = new Set(items.filter(granted).map(keyOf))
    return items.filter((item) => granted(item) || !held.has(keyOf(item)))
  }
  const all = <K extends keyof EffectiveConfig>(key: K): EffectiveConfig[K][number][] =>
    parts.flatMap((part) => part[key] as EffectiveConfig[K][number][])
  return {
    grants: all('grants'),
    workspaces: one('workspaces', all('workspaces'), nameOf, nameOf),
    models: one('models', all('models'), nameOf, nameOf),
    services: one('services', all('services'), nameOf, nameOf),
    classes: one(
      'workspaces',
      all('classes'),
      (c) => classKey(c.workspace, c.name),
      (c) => c.workspace,
    ),
    rollouts: one('models', all('rollouts'), modelOf, modelOf),
    // A withdrawal counts whoever declared it: nobody may undo it by a transfer.
    withdrawals: all('withdrawals'),
  }
}

function nameOf(item: { readonly name: string }): string {
  return item.name
}

function modelOf(item: { readonly model: string }): string {
  return item.model
}
