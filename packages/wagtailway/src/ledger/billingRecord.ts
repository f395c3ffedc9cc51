/** Billing records and the slots that hold them. */
import { z } from 'zod'

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
  /** Incarnation that wrote the slot; another one than the log's after a recovery. */
  writer: z.string(),
  records: z.array(billingRecordSchema),
})

export type BackendCall = z.infer<typeof backendCallSchema>
export type BillingRecord = z.infer<typeof billingRecordSchema>

/** A record with its place in its incarnation's log. */
export interface LedgerEntry {
  readonly record: BillingRecord
  /** Grows by one with each record of the incarnation. */
  readonly seq: number
  /** The record stands in no slot before this one. */
  readonly fromSlot: number
}
