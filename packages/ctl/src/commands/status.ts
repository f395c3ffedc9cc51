/** `wagtailwayctl status`: what is in force, where, and what owners must fix. */
import { CONFIG_OBJECT, ownerStatusSchema, type OwnerStatus } from '@wagtailway/core'
import type { PlatformClient } from '@wagtailway/platform'
import { z } from 'zod'
import { callEntryInstances, type InstanceResponse } from '../entryInstances.js'
import { EXIT } from '../exitCodes.js'
import { unavailableReport, type Report } from '../report.js'

/** Maximum number of moves printed for each owner. */
const MAX_PRINTED_MOVES = 5

const instanceStatusSchema = z.object({ revision: z.number(), fresh: z.boolean() })

interface InstanceState {
  readonly id: string
  readonly zone: string
  readonly state: 'in_force' | 'stale' | 'behind' | 'silent'
  readonly revision: number | undefined
}

/**
 * Reports the revision in force, the owners' findings and each entry instance.
 *
 * @example
 * const { code, lines } = await status(client)
 */
export async function status(client: PlatformClient): Promise<Report> {
  const config = await client.get('config', CONFIG_OBJECT)
  if (config.err) return unavailableReport('status not read', config.val.message)
  const listed = await client.list('status', '')
  if (listed.err) return unavailableReport('status not read', listed.val.message)
  const instances = await client.instances()
  if (instances.err) return unavailableReport('status not read', instances.val.message)
  const revision = config.val?.revision ?? 0
  const owners = listed.val.objects.flatMap(
    ({ value }) => ownerStatusSchema.safeParse(value).data ?? [],
  )
  const responses = await callEntryInstances(instances.val, 'GET', '/operator/status')
  const states = responses.map((response) => stateOf(response, revision))
  const missing = states.filter(({ state }) => state !== 'in_force')
  return {
    code: missing.length === 0 && states.length > 0 ? EXIT.ok : EXIT.incomplete,
    lines: [
      `revision ${revision}`,
      ...owners.flatMap(describeOwner),
      `in force on ${states.length - missing.length} of ${states.length} entry instances`,
      ...(states.length === 0 ? ['the platform lists no entry instance'] : []),
      ...missing.map(describeInstance),
    ],
    data: { revision, owners, instances: states },
  }
}

function stateOf({ instance, res }: InstanceResponse, revision: number): InstanceState {
  const identity = { id: instance.id, zone: instance.zone }
  const parsed = instanceStatusSchema.safeParse(res?.body)
  if (!parsed.success) return { ...identity, state: 'silent', revision: undefined }
  const { revision: instanceRevision, fresh } = parsed.data
  if (instanceRevision < revision)
    return { ...identity, state: 'behind', revision: instanceRevision }
  return { ...identity, state: fresh ? 'in_force' : 'stale', revision: instanceRevision }
}

function describeInstance({ id, zone, state, revision }: InstanceState): string {
  const atRevision = revision === undefined ? '' : ` at revision ${revision}`
  return `  ${id} (${zone}): ${state}${atRevision}`
}

function describeOwner({ owner, accepted, findings, moved }: OwnerStatus): string[] {
  const verdict = accepted ? 'accepted' : 'last good declaration kept in force'
  return [
    `${owner}: ${verdict}, ${findings.length} findings`,
    ...findings.map(
      (f) => `  ${f.place.source} ${f.place.path} [${f.rule}] ${f.message}`,
    ),
    ...moved.slice(0, MAX_PRINTED_MOVES).map((m) => {
      const place = [m.workspace, m.className].filter(Boolean).join('/')
      return `  at revision ${m.revision} ${place} [${m.kind}] ${m.before} -> ${m.after}`
    }),
  ]
}
