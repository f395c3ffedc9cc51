/** Checks of a scenario that its schema can't make. */
import type { Problem } from './parseScenario.js'
import {
  LINK_ACTIONS,
  UNDOABLE,
  actionsOf,
  type Action,
  type Fault,
  type Scenario,
} from './schema.js'

/** Actions that name one part and the parts they may name. */
const PART_ACTIONS: readonly Action[] = [
  'kill',
  'freeze',
  'stop',
  'replace',
  'engine',
  'leaving',
  'unlist',
]

/** Every reference to a part or action that can't work. */
export function checkReferences(scenario: Scenario): Problem[] {
  const parts = partsOf(scenario)
  return [
    ...scenario.faults.flatMap((fault, i) => checkFault(fault, ['faults', i], parts)),
    ...scenario.traffic.flatMap(({ via, service }, i) => [
      ...(via ?? []).flatMap((name, j) =>
        unknownPart(parts, name, ['traffic', i, 'via', j]),
      ),
      ...(service === undefined
        ? []
        : unknownPart(parts, `${service}-1`, ['traffic', i, 'service'])),
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
    return [{ path, message: 'a fault does exactly one thing' }]
  }
  const triggers = [fault.at, fault.afterAnswers, fault.afterStarts].filter(
    (trigger) => trigger !== undefined,
  )
  return [
    ...(triggers.length === 1
      ? []
      : [{ path, message: 'give one of at, afterAnswers and afterStarts' }]),
    ...(fault.for !== undefined && !UNDOABLE.includes(action)
      ? [{ path: [...path, 'for'], message: `${action} can't be undone` }]
      : []),
    ...(action === 'slow' && fault.by === undefined
      ? [{ path, message: 'slow needs by, such as by: 50ms' }]
      : []),
    ...(action === 'engine' && fault.faults === undefined
      ? [{ path, message: 'engine needs faults, such as faults: { failNext: 1 }' }]
      : []),
    ...(PART_ACTIONS.includes(action)
      ? unknownPart(parts, String(fault[action]), [...path, action])
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
    const at = [...path, action]
    if (from === 'callers') return unknownPart(parts, to, at)
    return [
      ...(from === '*' ? [] : unknownPart(parts, from, at)),
      ...unknownPart(parts, to, at),
    ]
  })
}

function unknownPart(
  parts: ReadonlySet<string>,
  name: string,
  path: readonly PropertyKey[],
): Problem[] {
  if (parts.has(name)) return []
  return [{ path, message: `no part "${name}"; there are ${[...parts].join(', ')}` }]
}

/** All parts, routers that start later included. */
function partsOf({ deployment, faults }: Scenario): ReadonlySet<string> {
  const later = faults.filter(({ start, replace }) => start ?? replace).length
  const routers = Array.from(
    { length: deployment.routers + later },
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
