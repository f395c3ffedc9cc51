/**
 * Waits until a stored change counts as accepted: at least half of the listed entry
 * instances hold its revision, so that the others can't go on without it even if
 * the platform goes away now.
 */
import { ACCEPTED_SHARE, type Clock } from '@wagtailway/core'
import type { PlatformClient } from '@wagtailway/platform'
import { z } from 'zod'
import { askEntryInstances } from '../entryInstances.js'
import { EXIT } from '../exitCodes.js'
import type { Report } from '../report.js'

const POLL_MS = 200

const statusSchema = z.object({ revision: z.number() })

/** How far a revision has come. */
export interface Held {
  /** Entry instances that hold the revision or a newer one. */
  readonly held: number
  readonly listed: number
}

export interface AcceptanceOptions {
  /** Counts the instances that hold the revision; absent while the list can't be read. */
  readonly countHeld: (revision: number) => Promise<Held | undefined>
  readonly clock: Clock
  readonly pause: (ms: number) => Promise<void>
  /** Longest wait, in milliseconds. */
  readonly timeoutMs: number
}

/**
 * Adds to the report of a change whether it is accepted or only stored.
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
  const untilMs = opts.clock() + opts.timeoutMs
  for (;;) {
    const count = await opts.countHeld(revision)
    const isAccepted = count !== undefined && count.held >= count.listed * ACCEPTED_SHARE
    if (isAccepted || opts.clock() >= untilMs) return extend(report, count, isAccepted)
    await opts.pause(POLL_MS)
  }
}

/** Counts over the instances' operator interface. */
export function countHeldBy(client: PlatformClient): AcceptanceOptions['countHeld'] {
  return async (revision) => {
    const instances = await client.instances()
    if (instances.err) return undefined
    const asked = await askEntryInstances(instances.val, '/operator/status')
    const held = asked.filter(({ res }) => {
      const status = statusSchema.safeParse(res?.body)
      return status.success && status.data.revision >= revision
    })
    return { held: held.length, listed: asked.length }
  }
}

function extend(report: Report, count: Held | undefined, isAccepted: boolean): Report {
  const by = count
    ? `held by ${count.held} of ${count.listed} entry instances`
    : 'held by nobody knows how many entry instances'
  const line = isAccepted
    ? `accepted: ${by}`
    : `stored only: ${by}; an outage now could leave the revision before in force, look again with wagtailwayctl status`
  return {
    code: isAccepted || report.code !== EXIT.ok ? report.code : EXIT.incomplete,
    lines: [...report.lines, line],
    data: { ...report.data, accepted: isAccepted, ...count },
  }
}
