/**
 * What several requests may have in common and may be at fault for a crash: a part of their
 * prompts, or their whole content.
 */
import type { PromptPart } from '../model/requestMetadata.js'

export interface RequestTrait {
  readonly id: string
  /** Position in the prompt; the whole content comes after all parts. */
  readonly position: number
}

/** Starts the ids of contents; ids of prompt parts hold no colon. */
const CONTENT_PREFIX = 'content:'

const CONTENT_POSITION = 99

/** Traits of a request, by which it is related to other requests. */
export function requestTraits(
  parts: readonly PromptPart[],
  contentId: string,
): RequestTrait[] {
  const content = { id: CONTENT_PREFIX + contentId, position: CONTENT_POSITION }
  return [...parts.map(({ id }, position) => ({ id, position })), content]
}

/**
 * The content that a trait identifies; `undefined` for a prompt part.
 *
 * @example
 * contentIdOf('content:5c1e07a291bd') // '5c1e07a291bd'
 */
export function contentIdOf(traitId: string): string | undefined {
  return traitId.startsWith(CONTENT_PREFIX)
    ? traitId.slice(CONTENT_PREFIX.length)
    : undefined
}

/** Whether a trait is a content and not a prompt part. */
export function isContent(traitId: string): boolean {
  return contentIdOf(traitId) !== undefined
}
