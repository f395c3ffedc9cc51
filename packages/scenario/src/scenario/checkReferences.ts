/** Checks of a scenario that can't be expressed in its schema. */
import type { Problem } from './parseScenario.js'
import {
  LINK_ACTIONS,
  UNDOABLE_ACTIONS,
  actionsOf,
  type Action,
  type Fault,
  type Scenario,
} from './schema.js'

/** Actions whose value names a part of the deployment. */
const PART_ACTIONS: readonly Action[] = [
  'kill',
  'freeze',
  'stop',
  'replace',
  'engine',
  'leaving',
  'unlist',
]

/** Returns the problems of all faults and of all references to parts. */
export function checkReferences(scenario: Scenario): Problem[] {
  const parts = partNames(scenario)
  return [
    ...scenario.faults.flatMap((fault, i) => checkFault(fault, ['faults', i], parts)),
    ...scenario.traffic.flatMap(({ via, service }, i) => [
      ...(via ?? []).flatMap((name, j) =>
        checkPart(parts, name, ['traffic', i, 'via', j]),
      ),
      ...(service === undefined
        ? []
        : checkPart(parts, `${service}-1`, ['traffic', i, 'service'])),
    ]),
  ]
}

function checkFault(
  fault: Fault,
  path: readonly PropertyKey[],
  parts: ReadonlySet<string>,
): Problem[] {
  const actions = actionsOf(fault)
  const [action] = actions
  if (action === undefined || actions.length > 1) {
    return [{ path, message: 'a fault has exactly one action' }]
  }
  const triggers = [
    fault.at,
    fault.afterAnswers,
    fault.afterStarts,
    fault.afterChanges,
  ].filter((trigger) => trigger !== undefined)
  return [
    ...(triggers.length === 1
      ? []
      : [
          { path, message: 'give one of at, afterAnswers, afterStarts and afterChanges' },
        ]),
    ...(fault.for !== undefined && !UNDOABLE_ACTIONS.includes(action)
      ? [{ path: [...path, 'for'], message: `${action} can't be undone` }]
      : []),
    ...(action === 'slow' && fault.by === undefined
      ? [{ path, message: 'slow needs by, such as by: 50ms' }]
      : []),
    ...(action === 'engine' && fault.faults === undefined
      ? [{ path, message: 'engine needs faults, such as faults: { failNext: 1 }' }]
      : []),
    ...(PART_ACTIONS.includes(action)
      ? checkPart(parts, String(fault[action]), [...path, action])
      : []),
    ...checkLink(fault, path, parts),
  ]
}

function checkLink(
  fault: Fault,
  path: readonly PropertyKey[],
  parts: ReadonlySet<string>,
): Problem[] {
  return LINK_ACTIONS.flatMap((action) => {
    const link = fault[action]
    if (link === undefined) return []
    const [from = '', to = ''] = link.split(' > ')
    const linkPath = [...path, action]
    if (from === 'callers') return checkPart(parts, to, linkPath)
    return [
      ...(from === '*' ? [] : checkPart(parts, from, linkPath)),
      ...checkPart(parts, to, linkPath),
    ]
  })
}

function checkPart(
  parts: ReadonlySet<string>,
  name: string,
  path: readonly PropertyKey[],
): Problem[] {
  if (parts.has(name)) return []
  return [{ path, message: `no part "${name}"; there are ${[...parts].join(', ')}` }]
}

/** Names of all parts, including routers that faults start. */
function partNames({ deployment, faults }: Scenario): ReadonlySet<string> {
  const startedRouters = faults.filter(({ start, replace }) => start ?? replace).length
  const routers = Array.from(
    { length: deployment.routers + startedRouters },
    (_, i) => `n${i + 1}`,
  )
  return new Set([
    ...routers,
    ...deployment.engines.map(({ id }) => id),
    ...deployment.services.map((name) => `${name}-1`),
    'platform',
    'ratings',
  ])
}
