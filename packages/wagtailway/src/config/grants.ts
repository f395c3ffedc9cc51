/** Who may declare what, as the root owner's grants say. */
import type { Finding } from './findings.js'
import type { SourcedDocument } from './parseDocument.js'
import { findingAt } from './report.js'
import type { GrantDeclaration } from './schema.js'

/** Owner whose grants say which owner may declare what. */
export const ROOT_OWNER = 'root'

/** Owner of withdrawals that the system itself decides; it needs no grant for these. */
export const SYSTEM_OWNER = 'wagtailway'

/** Kinds of names that are granted. */
export type GrantKind = 'workspaces' | 'models' | 'services'

export const GRANT_KINDS: readonly GrantKind[] = ['workspaces', 'models', 'services']

/**
 * Look-up of the owner to whom a name is granted.
 *
 * @example
 * Grants.create(root.grants).ownerOf('models', 'summariser') // 'model-office'
 */
export class Grants {
  readonly #owners = new Map<string, string>()

  private constructor(grants: readonly GrantDeclaration[]) {
    for (const grant of grants) {
      for (const kind of GRANT_KINDS) {
        for (const name of grant[kind]) this.#owners.set(`${kind}/${name}`, grant.owner)
      }
    }
  }

  static create(grants: readonly GrantDeclaration[]): Grants {
    return new Grants(grants)
  }

  ownerOf(kind: GrantKind, name: string): string | undefined {
    return this.#owners.get(`${kind}/${name}`)
  }
}

/** Finds names that are granted to two owners, and grants outside the root document. */
export function checkGrants(sourced: SourcedDocument): Finding[] {
  const { grants, owner } = sourced.document
  if (owner !== ROOT_OWNER) {
    if (grants.length === 0) return []
    const message = `only the owner "${ROOT_OWNER}" may grant; remove the grants`
    return [findingAt(sourced, 'not_granted', ['grants'], message)]
  }
  const first = new Map<string, string>()
  const findings: Finding[] = []
  grants.forEach((grant, i) => {
    for (const kind of GRANT_KINDS) {
      grant[kind].forEach((name, j) => {
        const holder = first.get(`${kind}/${name}`) ?? grant.owner
        first.set(`${kind}/${name}`, holder)
        if (holder === grant.owner) return
        const message = `"${name}" is granted to "${holder}" too; grant it to one owner`
        findings.push(findingAt(sourced, 'conflicting', ['grants', i, kind, j], message))
      })
    }
  })
  return findings
}
