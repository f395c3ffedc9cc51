/** What a request and an answer say about themselves, whatever header carries it. */

/** A part of a prompt that requests may share. */
export interface PromptPart {
  readonly id: string
  readonly tokens: number
}

/** Facts of a caller's request. */
export interface RequestMetadata {
  readonly requestId: string | undefined
  /** How long the caller will wait, in milliseconds. */
  readonly remainingMs: number | undefined
  readonly key: string | undefined
  /** Requests with the same one that follow each other closely belong together. */
  readonly session: string | undefined
  readonly promptTokens: number
  /** In the order of the prompt; the last belongs to the request or its session. */
  readonly promptParts: readonly PromptPart[]
  /** Last event that the caller already has. */
  readonly lastEventId: number | undefined
}

/** What is said to a backend server beside the caller's own headers. */
export interface BackendRequestMetadata {
  readonly serverId: string
  readonly remainingMs: number
  readonly workspace: string | undefined
  /** Replaces the model that the caller named. */
  readonly model: string | undefined
  /** From 0, served first, to 9. */
  readonly urgency: number | undefined
  /** Last event that the caller has, if the stream goes on from there. */
  readonly lastEventId: number | undefined
  readonly bodyBytes: number
  /** Whether the connection is kept for another request. */
  readonly keepAlive: boolean
}

/** Facts of a backend server's answer. */
export interface ResponseMetadata {
  readonly requestId: string | undefined
  /** Whether the backend server has signed the answer. */
  readonly isSigned: boolean
  /** Whether the backend server says that it has not run the request. */
  readonly wasNotExecuted: boolean
  /** The model's opinion of its answer, from 0 to 100. */
  readonly confidence: number | undefined
  /** Whether the body is encoded, which no caller asked for. */
  readonly isEncoded: boolean
}

/** Translates between headers and facts. */
export interface HeaderDialect {
  readRequest(headers: NodeJS.Dict<string | string[]>): RequestMetadata
  /** Headers of the request to a backend server, as name, value, name, value. */
  backendRequestHeaders(
    callerResponseHeaders: readonly string[],
    facts: BackendRequestMetadata,
  ): string[]
  readResponse(headers: NodeJS.Dict<string | string[]>): ResponseMetadata
  /** Headers of the answer to the caller, as name, value, name, value. */
  callerResponseHeaders(backendRequestHeaders: readonly string[]): string[]
  /** Headers of an answer of this process's own. */
  localResponseHeaders(
    requestId: string | undefined,
    retryAfterMs: number | undefined,
  ): string[]
}
