/**
 * Waits until a stored change counts as accepted: at least half of the listed entry
 * instances hold its revision, so that the others can't continue without it even if
 * the platform becomes unavailable now.
 */
import { ACCEPTED_SHARE, type Clock } from '@wagtailway/core'
import type { PlatformClient } from '@wagtailway/platform'
import { z } from 'zod'
import { callEntryInstances } from '../entryInstances.js'
import { EXIT } from '../exitCodes.js'
import type { Report } from '../report.js'

const POLL_MS = 200

const statusSchema = z.object({ revision: z.number() })

/** Number of entry instances that hold a revision, and of all those listed. */
export interface RevisionHolders {
  /** Entry instances that hold the revision or a newer one. */
  readonly held: number
  readonly listed: number
}

export interface AcceptanceOptions {
  /** Counts the instances that hold the revision; `undefined` while the list can't be read. */
  readonly countHolders: (revision: number) => Promise<RevisionHolders | undefined>
  readonly clock: Clock
  readonly pause: (ms: number) => Promise<void>
  /** Maximum wait, in milliseconds. */
  readonly timeoutMs: number
}

/**
 * Waits for acceptance and adds to the report whether the change is accepted or only stored.
 *
 * @example
 * const report = await awaitAcceptance(await applyFiles(client, files), opts)
 */
export async function awaitAcceptance(
  report: Report,
  opts: AcceptanceOptions,
): Promise<Report> {
  const revision = report.data['revision']
  if (typeof revision !== 'number') return report
  const deadlineMs = opts.clock() + opts.timeoutMs
  for (;;) {
    const count = await opts.countHolders(revision)
    const isAccepted = count !== undefined && count.held >= count.listed * ACCEPTED_SHARE
    if (isAccepted || opts.clock() >= deadlineMs) return extend(report, count, isAccepted)
    await opts.pause(POLL_MS)
  }
}

/** Creates a counter that queries the operator interface of the instances. */
export function createHolderCounter(
  client: PlatformClient,
): AcceptanceOptions['countHolders'] {
  return async (revision) => {
    const instances = await client.instances()
    if (instances.err) return undefined
    const responses = await callEntryInstances(instances.val, 'GET', '/operator/status')
    const held = responses.filter(({ res }) => {
      const status = statusSchema.safeParse(res?.body)
      return status.success && status.data.revision >= revision
    })
    return { held: held.length, listed: responses.length }
  }
}

function extend(
  report: Report,
  count: RevisionHolders | undefined,
  isAccepted: boolean,
): Report {
  const holders = count
    ? `held by ${count.held} of ${count.listed} entry instances`
    : 'held by an unknown number of entry instances'
  const line = isAccepted
    ? `accepted: ${holders}`
    : `stored only: ${holders}; an outage now could leave the previous revision in force; check again with wagtailwayctl status`
  return {
    code: isAccepted || report.code !== EXIT.ok ? report.code : EXIT.incomplete,
    lines: [...report.lines, line],
    data: { ...report.data, accepted: isAccepted, ...count },
  }
}
