/** Billing records and the slots that hold them. */
import * as z from 'zod'

export const backendCallSchema = z.object({
  versionKey: z.string(),
  backend: z.string(),
  promptTokens: z.number(),
  completionTokens: z.number(),
})

export const billingRecordSchema = z.object({
  requestId: z.string(),
  workspace: z.string(),
  classKey: z.string(),
  calls: z.array(backendCallSchema),
  /** Cost in millionths of the currency unit. */
  costMicros: z.number(),
  /** Milliseconds since the epoch. */
  atMs: z.number(),
})

export const billingSlotSchema = z.object({
  /**
   * Incarnation that wrote the slot; after a recovery it differs from the log's
   * incarnation.
   */
  writer: z.string(),
  records: z.array(billingRecordSchema),
})

export type BackendCall = z.infer<typeof backendCallSchema>
export type BillingRecord = z.infer<typeof billingRecordSchema>

/** A record with its position in the log of its incarnation. */
export interface LedgerEntry {
  readonly record: BillingRecord
  /** Sequence number, incremented with each record of the incarnation. */
  readonly seq: number
  /** First slot that may hold the record; no earlier slot does. */
  readonly fromSlot: number
}
