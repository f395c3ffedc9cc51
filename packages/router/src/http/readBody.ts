/** Reads a request body within a size limit. */
import type { IncomingMessage } from 'node:http'
import { Err, Ok, notRun, readBytes, type Refusal, type Result } from '@wagtailway/core'

/**
 * Reads the whole body; refuses it once it is larger than `maxBytes`.
 *
 * @example
 * const body = await readBody(req, 1_048_576)
 */
export async function readBody(
  req: IncomingMessage,
  maxBytes: number,
): Promise<Result<Buffer, Refusal>> {
  const tooLarge = notRun('body_too_large', `Send at most ${maxBytes} bytes.`)
  const sizeHint = Number(req.headers['content-length'] ?? 0)
  if (sizeHint > maxBytes) return Err(tooLarge)
  const result = await readBytes(req, { maxBytes, sizeHint, keepOpen: true })
  switch (result.type) {
    case 'complete':
      return Ok(result.bytes)
    case 'too_long':
      return Err(tooLarge)
    case 'too_fragmented':
      return Err(notRun('bad_request', 'The body comes in too many small chunks.'))
    case 'no_memory':
    case 'closed':
      return Err(notRun('bad_request', 'The request body broke off.'))
  }
}
