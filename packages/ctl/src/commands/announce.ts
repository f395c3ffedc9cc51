/**
 * Tells entry instances directly that a revision was stored. Those that don't have it can't
 * then continue on the one before during an outage of the platform that begins right after
 * the write.
 */
import type { PlatformClient } from '@wagtailway/platform'
import { callEntryInstances } from '../entryInstances.js'
import type { Report } from '../report.js'

/** Number of entry instances that confirmed the announcement, and of all those listed. */
export interface AnnouncementCount {
  readonly told: number
  readonly listed: number
}

/** Announces a stored revision. */
export type Announce = (revision: number) => Promise<AnnouncementCount>

/**
 * Reads whom to tell. Called before the write, because the platform may be unavailable
 * right after it.
 */
export type PrepareAnnouncement = () => Promise<Announce>

/**
 * Creates announcements to the entry instances in the platform's list; to none if the list
 * can't be read.
 *
 * @example
 * await applyFiles(client, files, { prepareAnnouncement: createAnnouncements(client) })
 */
export function createAnnouncements(client: PlatformClient): PrepareAnnouncement {
  return async () => {
    const instances = await client.instances()
    const listed = instances.ok ? instances.val : []
    return async (revision) => {
      const path = `/operator/known-revision?revision=${revision}`
      const responses = await callEntryInstances(listed, 'POST', path)
      const told = responses.filter(({ res }) => res?.status === 200)
      return { told: told.length, listed: responses.length }
    }
  }
}

/** Announces the revision of a report, if it has one, and adds to it who was told. */
export async function announceRevision(
  report: Report,
  announce: Announce,
): Promise<Report> {
  const { revision } = report.data
  if (typeof revision !== 'number') return report
  const { told, listed } = await announce(revision)
  return {
    ...report,
    lines: [...report.lines, `told ${told} of ${listed} entry instances`],
    data: { ...report.data, told, listed },
  }
}
