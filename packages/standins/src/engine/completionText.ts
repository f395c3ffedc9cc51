/**
 * Text of a stand-in engine's completion, which a caller can check.
 *
 * Each token contains the digest of the prompt, its own index and the token count, so a
 * caller detects missing, duplicate and reordered tokens and those of another prompt.
 */
import { createHash } from 'node:crypto'

const DIGEST_LENGTH = 8

/** Returns the first 8 hex digits of the prompt's SHA-256. */
export function promptDigest(prompt: string): string {
  return createHash('sha256').update(prompt).digest('hex').slice(0, DIGEST_LENGTH)
}

/**
 * Returns all tokens of the completion of a prompt.
 *
 * @example
 * completionTokens('Summarise dossier 7', 2) // ['1b2c3d4e:0/2 ', '1b2c3d4e:1/2 ']
 */
export function completionTokens(prompt: string, count: number): string[] {
  const digest = promptDigest(prompt)
  return Array.from({ length: count }, (_, i) => `${digest}:${i}/${count} `)
}

/**
 * Whether a text is the complete output for a prompt.
 *
 * @example
 * isCompleteOutput(prompt, completionTokens(prompt, 3).join('')) // true
 */
export function isCompleteOutput(prompt: string, text: string): boolean {
  const count = Number(/\/(\d+) $/.exec(text)?.[1] ?? '0')
  return count > 0 && text === completionTokens(prompt, count).join('')
}
