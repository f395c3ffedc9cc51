/** Metadata of requests and responses, independent of the headers that carry it. */

import type { StatementsRead } from '../statements/serverStatement.js'

/** A part of a prompt, which several requests may share. */
export interface PromptPart {
  readonly id: string
  readonly tokens: number
}

/** Metadata of a caller's request. */
export interface RequestMetadata {
  readonly requestId: string | undefined
  /** Time until the caller's deadline, in milliseconds. */
  readonly remainingMs: number | undefined
  /** API key of the caller. */
  readonly apiKey: string | undefined
  /** Requests with the same key that follow each other closely belong to one session. */
  readonly sessionKey: string | undefined
  readonly promptTokens: number
  /** Model that the caller names; `undefined` if it leaves the choice to the route. */
  readonly model: string | undefined
  /** In the order of the prompt; the last part is specific to the request or its session. */
  readonly promptParts: readonly PromptPart[]
  /** ID of the last event that the caller received, if it resumes a stream. */
  readonly lastEventId: number | undefined
}

/** Metadata sent to a backend server in addition to the caller's headers. */
export interface BackendRequestMetadata {
  readonly serverId: string
  readonly remainingMs: number
  readonly workspace: string | undefined
  /** Replaces the model that the caller requested. */
  readonly model: string | undefined
  /** From 0, the most urgent, to 9. */
  readonly urgency: number | undefined
  /** ID of the last event that the caller received, if the stream resumes after it. */
  readonly lastEventId: number | undefined
  readonly bodyBytes: number
  /** Whether the connection may be reused for another request. */
  readonly keepAlive: boolean
}

/**
 * Requests a second that a backend server takes from all entry instances together;
 * `undefined` if it names no limit, `invalid` if what it names is no decimal number.
 */
export type NamedRateLimit = number | 'invalid' | undefined

/** Status of a server that is not the one to which the request was addressed. */
export const MISDIRECTED_REQUEST = 421

/** Metadata of a backend server's response. */
export interface ResponseMetadata {
  readonly requestId: string | undefined
  /** Whether the backend server has signed the response. */
  readonly isSigned: boolean
  /** Whether the backend server states that it has not executed the request. */
  readonly wasNotExecuted: boolean
  /** The model's confidence in its completion, from 0 to 100. */
  readonly confidence: number | undefined
  /** Whether the body has a content encoding, which no caller requested. */
  readonly isEncoded: boolean
  readonly rateLimit: NamedRateLimit
  /** What the backend server says of itself. */
  readonly said: StatementsRead
}

/** Converts between HTTP headers and metadata. */
export interface HeaderDialect {
  readRequest(headers: NodeJS.Dict<string | string[]>): RequestMetadata
  /** Headers of the request to a backend server, as a flat list of names and values. */
  backendRequestHeaders(
    requestHeaders: readonly string[],
    metadata: BackendRequestMetadata,
  ): string[]
  readResponse(headers: NodeJS.Dict<string | string[]>): ResponseMetadata
  /** Headers of the response to the caller, as a flat list of names and values. */
  callerResponseHeaders(responseHeaders: readonly string[]): string[]
  /** Headers of a response that this process generates itself. */
  localResponseHeaders(
    requestId: string | undefined,
    retryAfterMs: number | undefined,
  ): string[]
}
