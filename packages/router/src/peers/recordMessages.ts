/** Converts billing records to and from messages between entry instances. */
import { billingRecordSchema, type LedgerEntry } from '@wagtailway/core'
import type { BillingRecord as RecordMessage } from '@wagtailway/protocol'

export function toRecordMessage({
  record,
  seq,
  fromSlot,
}: LedgerEntry): Omit<RecordMessage, '$typeName'> {
  return {
    requestId: record.requestId,
    workspace: record.workspace,
    classKey: record.classKey,
    callsJson: JSON.stringify(record.calls),
    costMicros: BigInt(record.costMicros),
    atMs: BigInt(record.atMs),
    seq: BigInt(seq),
    fromSlot,
  }
}

export function toEntry(message: RecordMessage): LedgerEntry {
  const record = billingRecordSchema.parse({
    requestId: message.requestId,
    workspace: message.workspace,
    classKey: message.classKey,
    calls: JSON.parse(message.callsJson) as unknown,
    costMicros: Number(message.costMicros),
    atMs: Number(message.atMs),
  })
  return { record, seq: Number(message.seq), fromSlot: message.fromSlot }
}
