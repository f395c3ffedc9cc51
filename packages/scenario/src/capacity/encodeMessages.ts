/** Encodes the messages of a simulated fleet as on the wire. */
import { create, toBinary } from '@bufbuild/protobuf'
import type { DeltaResponse, ExchangeRequest, ExchangeResponse } from '@wagtailway/core'
import {
  DeltaResponseSchema,
  ExchangeRequestSchema,
  ExchangeResponseSchema,
} from '@wagtailway/protocol'

export function encodeRequest(request: ExchangeRequest): Uint8Array {
  const init = {
    ...request,
    updates: [...request.updates],
    bucketHashes: [...request.bucketHashes],
    values: [...request.values],
  }
  return toBinary(ExchangeRequestSchema, create(ExchangeRequestSchema, init))
}

export function encodeResponse(response: ExchangeResponse): Uint8Array {
  const init = {
    ...response,
    updates: [...response.updates],
    bucketHashes: [...response.bucketHashes],
    values: [...response.values],
    claimAges: new Uint8Array(response.claimAges),
  }
  return toBinary(ExchangeResponseSchema, create(ExchangeResponseSchema, init))
}

export function encodeDelta({ delta, ...rest }: DeltaResponse): Uint8Array {
  const init = {
    ...rest,
    delta: { ...delta, changed: [...delta.changed], removed: [...delta.removed] },
  }
  return toBinary(DeltaResponseSchema, create(DeltaResponseSchema, init))
}
