/** Reads a request body within a size limit. */
import type { IncomingMessage } from 'node:http'
import { Err, Ok, notRun, type Refusal, type Result } from '@wagtailway/core'

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
  if (Number(req.headers['content-length'] ?? 0) > maxBytes) return Err(tooLarge)
  const parts: Buffer[] = []
  let size = 0
  try {
    for await (const part of req) {
      size += (part as Buffer).length
      if (size > maxBytes) return Err(tooLarge)
      parts.push(part as Buffer)
    }
  } catch {
    return Err(notRun('bad_request', 'The request body broke off.'))
  }
  return Ok(Buffer.concat(parts))
}
