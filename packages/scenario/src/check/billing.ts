/** Reads what was billed, straight from the platform's objects. */
import { billingSlotSchema, type BillingRecord } from '@wagtailway/core'
import { PlatformClient } from '@wagtailway/platform'

/** Every billing record of a deployment, duplicates included. */
export async function readBilling(platformUrl: string): Promise<BillingRecord[]> {
  const client = PlatformClient.create({ url: platformUrl })
  const listed = await client.list('billing', '')
  client.close()
  if (listed.err) throw new Error(listed.val.message)
  return listed.val.objects.flatMap(({ value }) => billingSlotSchema.parse(value).records)
}

export interface BillingCheck {
  /** Answered requests without a record. */
  readonly unbilled: readonly string[]
  /** Request ids with more than one record. */
  readonly duplicated: readonly string[]
}

/**
 * Compares answers with records.
 *
 * @example
 * checkBilling(['a'], records) // { unbilled: [], doubled: [] }
 */
export function checkBilling(
  answered: readonly string[],
  records: readonly Pick<BillingRecord, 'requestId'>[],
): BillingCheck {
  const counts = new Map<string, number>()
  for (const { requestId } of records) {
    counts.set(requestId, (counts.get(requestId) ?? 0) + 1)
  }
  return {
    unbilled: answered.filter((id) => !counts.has(id)),
    duplicated: [...counts].filter(([, count]) => count > 1).map(([id]) => id),
  }
}
