/** Checks of the configuration in force at the routers. */
import type { DeclarationDocument } from '@wagtailway/core'
import { isDeepStrictEqual } from 'node:util'
import { groupBy, type CheckResult, type Evidence } from './evidence.js'

/** Every router that takes requests has each accepted configuration within this time. */
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

/** No router goes back to an older configuration. */
export function configNeverReverts({ samples }: Evidence): CheckResult {
  const violations: string[] = []
  for (const [router, own] of groupBy(samples, (s) => s.router)) {
    for (const [i, sample] of own.entries()) {
      const before = own[i - 1]
      if (before && sample.revision < before.revision) {
        violations.push(`${router} went from ${before.revision} to ${sample.revision}`)
      }
    }
  }
  return { checked: samples.length, violations }
}

/** The last accepted change of each owner is part of the configuration in force. */
export function acceptedChangesStand({ changes, configs }: Evidence): CheckResult {
  const accepted = changes.filter((change) => change.accepted)
  const inForce = configs.at(-1)?.effective
  const violations = [...groupBy(accepted, ({ owner }) => owner)].flatMap(
    ([owner, own]) => {
      const stands = own.some(({ document }) =>
        isPartOf(document as DeclarationDocument, inForce),
      )
      return stands ? [] : [`no accepted change of ${owner} is in force`]
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
  const kinds = [
    [document.workspaces, inForce.workspaces],
    [document.models, inForce.models],
    [document.services, inForce.services],
    [document.classes, inForce.classes],
    [document.withdrawals, inForce.withdrawals],
  ] as const
  return kinds.every(([declared, all]) =>
    isDeepStrictEqual(
      plain(declared.map((item) => ({ ...item, owner }))),
      plain(all.filter((item) => item.owner === owner)),
    ),
  )
}

function plain(value: unknown): unknown {
  return JSON.parse(JSON.stringify(value))
}
