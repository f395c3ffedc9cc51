/**
 * Signed tokens that a caller sends to keep its session on one version.
 *
 * A token names the workspace, the session and the version. Any node that has the signing
 * keys can verify it without contacting the platform or another node.
 */
import { createHmac, timingSafeEqual } from 'node:crypto'
import * as z from 'zod'

const claimsSchema = z.object({
  workspace: z.string(),
  session: z.string(),
  className: z.string(),
  versionKey: z.string(),
  /**
   * When the session expires unless it is used again, in milliseconds since the epoch.
   */
  expiresAtMs: z.number(),
})

export type SessionClaims = z.infer<typeof claimsSchema>

/**
 * Signs session claims.
 *
 * @param key Secret shared by all nodes.
 *
 * @example
 * const token = signSession(claims, 'secret')
 */
export function signSession(claims: SessionClaims, key: string): string {
  const body = Buffer.from(JSON.stringify(claims)).toString('base64url')
  return `${body}.${mac(body, key)}`
}

/**
 * Verifies a token against all valid keys; `undefined` if it is forged or malformed. Doesn't
 * check whether the session has expired.
 *
 * @example
 * const claims = verifySession(token, ['newest-key', 'previous-key'])
 */
export function verifySession(
  token: string,
  keys: readonly string[],
): SessionClaims | undefined {
  const [body, signature] = token.split('.')
  if (body === undefined || signature === undefined) return undefined
  if (!keys.some((key) => macsEqual(mac(body, key), signature))) return undefined
  const parsed = claimsSchema.safeParse(parseJson(body))
  return parsed.success ? parsed.data : undefined
}

function mac(body: string, key: string): string {
  return createHmac('sha256', key).update(body).digest('base64url')
}

function macsEqual(a: string, b: string): boolean {
  const left = Buffer.from(a)
  const right = Buffer.from(b)
  return left.length === right.length && timingSafeEqual(left, right)
}

function parseJson(body: string): unknown {
  try {
    return JSON.parse(Buffer.from(body, 'base64url').toString())
  } catch {
    return undefined
  }
}
