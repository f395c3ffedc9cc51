/** One attempt of a chat completion at one backend server. */
import {
  Err,
  Ok,
  discardBody,
  refuse,
  type Candidate,
  type Refusal,
  type Result,
} from '@wagtailway/core'
import { readResponseBody } from '../backend/backendClient.js'
import { completionSchema, type Chunk, type Usage } from '../backend/chatMessages.js'
import type { BackendSlot } from '../backend/backendSlot.js'
import { readStream } from '../backend/readStream.js'
import { RESPONSE_HEADERS, REQUEST_ID_HEADER } from '../constants.js'
import { EventStream } from '../http/eventStream.js'
import { sendJson } from '../http/sendResponse.js'
import type { RouterNode } from '../routerNode.js'
import type { RequestContext } from './requestContext.js'
import type { PreparedChat } from './prepareChat.js'

const HTTP_OK = 200
const MS_PER_SECOND = 1_000

/** A complete output of one attempt; if it is streamed, the final chunks are not yet sent. */
export interface CompletionResult {
  readonly usage: Usage
  readonly text: string
  /** Sends what is held back until the completion is recorded. */
  readonly finish: () => Promise<void>
}

/**
 * Sends the request to the backend server and checks the response. A stream is relayed to
 * the caller as it arrives if `isLast`; otherwise it is buffered, as the plan's next version
 * may replace it.
 */
export async function attemptCompletion(
  node: RouterNode,
  ctx: RequestContext,
  chat: PreparedChat,
  candidate: Candidate,
  slot: BackendSlot,
  isLast: boolean,
): Promise<Result<CompletionResult, Refusal>> {
  const sent = await node.client.call({
    address: slot.backend.address,
    method: 'POST',
    path: '/v1/chat/completions',
    headers: { 'content-type': 'application/json', [REQUEST_ID_HEADER]: ctx.requestId },
    body: chat.bodyFor(candidate.key),
    progressTimeoutMs: node.cfg.progressTimeoutMs,
    signal: ctx.signal,
  })
  if (sent.err) return sent
  const { res, status } = sent.val
  if (status !== HTTP_OK) {
    discardBody(res)
    const message = `The backend server answered ${status}.`
    return Err(refuse('backend_failed', 'unknown', message))
  }
  ctx.res.setHeader(RESPONSE_HEADERS.version, candidate.key)
  if (!chat.stream) return readJsonCompletion(ctx, slot, await readResponseBody(sent.val))
  return readStreamedCompletion(node, ctx, chat, slot, res, isLast)
}

function readJsonCompletion(
  ctx: RequestContext,
  slot: BackendSlot,
  body: Result<Buffer, Refusal>,
): Result<CompletionResult, Refusal> {
  if (body.err) return body
  const parsed = completionSchema.safeParse(parseJson(body.val))
  if (!parsed.success) {
    const message = 'The backend server did not answer with a chat completion.'
    return Err(refuse('backend_invalid', 'unknown', message))
  }
  const completion = parsed.data
  slot.whole(completion.usage.completion_tokens)
  return Ok({
    usage: completion.usage,
    text: completion.choices[0]?.message.content ?? '',
    finish: () => {
      sendJson(ctx.res, HTTP_OK, completion)
      return Promise.resolve()
    },
  })
}

async function readStreamedCompletion(
  node: RouterNode,
  ctx: RequestContext,
  chat: PreparedChat,
  slot: BackendSlot,
  res: Parameters<typeof readStream>[0],
  isLast: boolean,
): Promise<Result<CompletionResult, Refusal>> {
  const stream = EventStream.create(ctx.res)
  const bufferedChunks: Chunk[] = []
  let text = ''
  let isFirstChunk = true
  const streamEnd = await readStream(res, (chunk) => {
    text += contentOf(chunk)
    if (isFirstChunk) slot.firstToken()
    if (isFirstChunk && isLast) observeFirstToken(node, ctx)
    isFirstChunk = false
    if (isLast) return stream.write(chunk)
    bufferedChunks.push(chunk)
    return undefined
  })
  if (streamEnd.err) return streamEnd
  const finish = async (): Promise<void> => {
    const finalChunks = streamEnd.val.finalChunks.filter(
      (chunk) => chat.wantsUsage || !isUsageOnly(chunk),
    )
    for (const chunk of [...bufferedChunks, ...finalChunks]) await stream.write(chunk)
    stream.end()
  }
  return Ok({ usage: streamEnd.val.usage, text, finish })
}

/** Whether this is the chunk that engines send for `include_usage`; not every caller asked for it. */
function isUsageOnly(chunk: Chunk): boolean {
  return chunk.choices.length === 0
}

function observeFirstToken(node: RouterNode, ctx: RequestContext): void {
  ctx.firstTokenMs = node.clock() - ctx.startMs
  const seconds = ctx.firstTokenMs / MS_PER_SECOND
  node.metrics.firstToken.observe({ class: ctx.classKey }, seconds)
}

function contentOf(chunk: Chunk): string {
  const delta = chunk.choices[0]?.['delta']
  if (typeof delta !== 'object' || delta === null) return ''
  const content = (delta as { content?: unknown }).content
  return typeof content === 'string' ? content : ''
}

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString())
  } catch {
    return undefined
  }
}
