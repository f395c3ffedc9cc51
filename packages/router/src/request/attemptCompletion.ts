/** One attempt of a chat completion at one backend server. */
import {
  Err,
  Ok,
  refuse,
  type Candidate,
  type Refusal,
  type Result,
} from '@wagtailway/core'
import { readAnswer } from '../backend/backendClient.js'
import { completionSchema, type Chunk, type Usage } from '../backend/chatMessages.js'
import type { Place } from '../backend/backendSlot.js'
import { readStream } from '../backend/readStream.js'
import { RESPONSE_HEADERS, REQUEST_ID_HEADER } from '../constants.js'
import { EventStream } from '../http/eventStream.js'
import { sendJson } from '../http/sendResponse.js'
import type { RouterNode } from '../routerNode.js'
import type { Call } from './requestContext.js'
import type { PreparedChat } from './prepareChat.js'

const HTTP_OK = 200
const MS_PER_SECOND = 1_000

/** A whole answer; of a streamed one everything but the end has been sent. */
export interface Answer {
  readonly usage: Usage
  readonly text: string
  /** Sends what was held back until the answer was recorded. */
  readonly finish: () => Promise<void>
}

/** Calls the backend server and checks its answer; streams it on if nothing can follow. */
export async function completeOnce(
  node: RouterNode,
  call: Call,
  chat: PreparedChat,
  candidate: Candidate,
  place: Place,
  isLast: boolean,
): Promise<Result<Answer, Refusal>> {
  const called = await node.client.call({
    address: place.backend.address,
    method: 'POST',
    path: '/v1/chat/completions',
    headers: { 'content-type': 'application/json', [REQUEST_ID_HEADER]: call.requestId },
    body: chat.bodyFor(candidate.key),
    progressTimeoutMs: node.cfg.progressTimeoutMs,
    signal: call.signal,
  })
  if (called.err) return called
  const { res, status } = called.val
  if (status !== HTTP_OK) {
    res.resume()
    const message = `The backend server answered ${status}.`
    return Err(refuse('backend_failed', 'unknown', message))
  }
  call.res.setHeader(RESPONSE_HEADERS.version, candidate.key)
  if (!chat.stream) return readPlain(call, place, await readAnswer(res))
  return readStreamed(node, call, chat, place, res, isLast)
}

function readPlain(
  call: Call,
  place: Place,
  body: Result<Buffer, Refusal>,
): Result<Answer, Refusal> {
  if (body.err) return body
  const parsed = completionSchema.safeParse(parseJson(body.val))
  if (!parsed.success) {
    const message = 'The backend server did not answer with a chat completion.'
    return Err(refuse('backend_invalid', 'unknown', message))
  }
  const completion = parsed.data
  place.whole(completion.usage.completion_tokens)
  return Ok({
    usage: completion.usage,
    text: completion.choices[0]?.message.content ?? '',
    finish: () => {
      sendJson(call.res, HTTP_OK, completion)
      return Promise.resolve()
    },
  })
}

async function readStreamed(
  node: RouterNode,
  call: Call,
  chat: PreparedChat,
  place: Place,
  res: Parameters<typeof readStream>[0],
  isLast: boolean,
): Promise<Result<Answer, Refusal>> {
  const stream = EventStream.create(call.res)
  const held: Chunk[] = []
  let text = ''
  let first = true
  const end = await readStream(res, (chunk) => {
    text += contentOf(chunk)
    if (first) place.firstToken()
    if (first && isLast) observeFirstToken(node, call)
    first = false
    if (isLast) return stream.write(chunk)
    held.push(chunk)
    return undefined
  })
  if (end.err) return end
  const finish = async (): Promise<void> => {
    const last = end.val.last.filter((chunk) => chat.wantsUsage || !isUsageOnly(chunk))
    for (const chunk of [...held, ...last]) await stream.write(chunk)
    stream.end()
  }
  return Ok({ usage: end.val.usage, text, finish })
}

/** The chunk that engines send for `include_usage`; not every caller asked for it. */
function isUsageOnly(chunk: Chunk): boolean {
  return chunk.choices.length === 0
}

function observeFirstToken(node: RouterNode, call: Call): void {
  call.firstTokenMs = node.clock() - call.startMs
  const seconds = call.firstTokenMs / MS_PER_SECOND
  node.metrics.firstToken.observe({ class: call.classKey }, seconds)
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
