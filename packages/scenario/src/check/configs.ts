/** Checks of the configuration in force at the routers. */
import type { DeclarationDocument } from '@wagtailway/core'
import { isDeepStrictEqual } from 'node:util'
import { groupBy, type CheckResult, type Evidence } from './evidence.js'

/** Every ready router has each accepted configuration or a newer one within `withinMs`. */
export function configInForceWithin(
  { configs, samples }: Evidence,
  withinMs: number,
): CheckResult {
  const late = samples.flatMap((sample) => {
    const due = configs.filter(({ atMs }) => atMs + withinMs <= sample.atMs).at(-1)
    const isLate = sample.isReady && due !== undefined && sample.revision < due.revision
    return isLate ? [`${sample.router} held ${sample.revision}, not ${due.revision}`] : []
  })
  const newest = configs.at(-1)
  const reached = newest && samples.some(({ revision }) => revision >= newest.revision)
  return { checked: reached ? samples.length : 0, violations: [...new Set(late)] }
}

/** No router reverts to an older configuration. */
export function configNeverReverts({ samples }: Evidence): CheckResult {
  const violations: string[] = []
  for (const [router, ownSamples] of groupBy(samples, (s) => s.router)) {
    for (const [i, sample] of ownSamples.entries()) {
      const previous = ownSamples[i - 1]
      if (previous && sample.revision < previous.revision) {
        violations.push(`${router} went from ${previous.revision} to ${sample.revision}`)
      }
    }
  }
  return { checked: samples.length, violations }
}

/**
 * For each owner with accepted changes, one of these changes is in the last accepted
 * configuration.
 */
export function acceptedChangesStand({ changes, configs }: Evidence): CheckResult {
  const accepted = changes.filter((change) => change.accepted)
  const inForce = configs.at(-1)?.effective
  const violations = [...groupBy(accepted, ({ owner }) => owner)].flatMap(
    ([owner, ownChanges]) => {
      const isInForce = ownChanges.some(({ document }) =>
        isPartOf(document as DeclarationDocument, inForce),
      )
      return isInForce ? [] : [`no accepted change of ${owner} is in force`]
    },
  )
  return { checked: accepted.length, violations }
}

function isPartOf(
  document: DeclarationDocument,
  inForce: Evidence['configs'][number]['effective'] | undefined,
): boolean {
  if (inForce === undefined) return false
  const { owner } = document
  const sections = [
    [document.workspaces, inForce.workspaces],
    [document.models, inForce.models],
    [document.services, inForce.services],
    [document.classes, inForce.classes],
    [document.withdrawals, inForce.withdrawals],
  ] as const
  return sections.every(([declared, effectiveItems]) =>
    isDeepStrictEqual(
      toPlainJson(declared.map((item) => ({ ...item, owner }))),
      toPlainJson(effectiveItems.filter((item) => item.owner === owner)),
    ),
  )
}

function toPlainJson(value: unknown): unknown {
  return JSON.parse(JSON.stringify(value))
}
