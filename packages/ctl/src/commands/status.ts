/** `wagtailwayctl status`: what is in force, where, and what owners must mend. */
import { CONFIG_OBJECT, ownerStatusSchema, type OwnerStatus } from '@wagtailway/core'
import type { PlatformClient } from '@wagtailway/platform'
import { z } from 'zod'
import { askEntryInstances, type Asked } from '../entryInstances.js'
import { EXIT } from '../exitCodes.js'
import { unavailableReport, type Report } from '../report.js'

/** Moves printed for each owner. */
const PRINTED_MOVES = 5

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
  if (config.err) return unavailableReport('no status', config.val.message)
  const listed = await client.list('status', '')
  if (listed.err) return unavailableReport('no status', listed.val.message)
  const instances = await client.instances()
  if (instances.err) return unavailableReport('no status', instances.val.message)
  const revision = config.val?.revision ?? 0
  const owners = listed.val.objects.flatMap(
    ({ value }) => ownerStatusSchema.safeParse(value).data ?? [],
  )
  const asked = await askEntryInstances(instances.val, '/operator/status')
  const states = asked.map((one) => stateOf(one, revision))
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

function stateOf({ instance, res }: Asked, revision: number): InstanceState {
  const at = { id: instance.id, zone: instance.zone }
  const parsed = instanceStatusSchema.safeParse(res?.body)
  if (!parsed.success) return { ...at, state: 'silent', revision: undefined }
  const { revision: theirs, fresh } = parsed.data
  if (theirs < revision) return { ...at, state: 'behind', revision: theirs }
  return { ...at, state: fresh ? 'in_force' : 'stale', revision: theirs }
}

function describeInstance({ id, zone, state, revision }: InstanceState): string {
  const at = revision === undefined ? '' : ` at revision ${revision}`
  return `  ${id} (${zone}): ${state}${at}`
}

function describeOwner({ owner, accepted, findings, moved }: OwnerStatus): string[] {
  const verdict = accepted ? 'accepted' : 'last good declaration kept in force'
  return [
    `${owner}: ${verdict}, ${findings.length} findings`,
    ...findings.map(
      (f) => `  ${f.place.source} ${f.place.path} [${f.rule}] ${f.message}`,
    ),
    ...moved.slice(0, PRINTED_MOVES).map((m) => {
      const place = [m.workspace, m.className].filter(Boolean).join('/')
      return `  at revision ${m.revision} ${place} [${m.kind}] ${m.before} -> ${m.after}`
    }),
  ]
}
