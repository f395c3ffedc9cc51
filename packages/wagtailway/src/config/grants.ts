/** Grants of the root owner, which state the names that each owner may declare. */
import { createFinding } from './createFinding.js'
import type { Finding } from './findings.js'
import type { SourcedDocument } from './parseDocument.js'
import type { GrantDeclaration } from './schema.js'

/** Owner whose document holds the grants for all owners. */
export const ROOT_OWNER = 'root'

/** Owner of the withdrawals that the system decides on itself; these need no grant. */
export const SYSTEM_OWNER = 'wagtailway'

/** Kinds of names that can be granted. */
export type GrantKind = 'workspaces' | 'models' | 'services'

export const GRANT_KINDS: readonly GrantKind[] = ['workspaces', 'models', 'services']

/**
 * Maps each name to the owner it is granted to.
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

/** Finds names granted to more than one owner, and grants outside the root document. */
export function checkGrants(sourced: SourcedDocument): Finding[] {
  const { grants, owner } = sourced.document
  if (owner !== ROOT_OWNER) {
    if (grants.length === 0) return []
    const message = `only the owner "${ROOT_OWNER}" may grant; remove the grants`
    return [createFinding(sourced, 'not_granted', ['grants'], message)]
  }
  const firstOwners = new Map<string, string>()
  const findings: Finding[] = []
  grants.forEach((grant, i) => {
    for (const kind of GRANT_KINDS) {
      grant[kind].forEach((name, j) => {
        const firstOwner = firstOwners.get(`${kind}/${name}`) ?? grant.owner
        firstOwners.set(`${kind}/${name}`, firstOwner)
        if (firstOwner === grant.owner) return
        const message = `"${name}" is granted to "${firstOwner}" too; grant it to one owner`
        findings.push(
          createFinding(sourced, 'conflicting', ['grants', i, kind, j], message),
        )
      })
    }
  })
  return findings
}
