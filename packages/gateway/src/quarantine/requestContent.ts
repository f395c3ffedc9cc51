/** Identifies the content of a request, which may come again under another id. */
import { createHash } from 'node:crypto'

/** Length of an identifier, in characters: unlikely to be shared by two requests of a day. */
const ID_LENGTH = 12

export interface RequestContent {
  readonly method: string
  readonly host: string
  /** Path with the query. */
  readonly path: string
  readonly caller: string
  readonly body: readonly Buffer[]
}

/**
 * Returns the same identifier for requests with the same method, host, path, caller and body.
 *
 * @example
 * identifyContent({ method: 'POST', host: 'a.example', path: '/7', caller: 'team', body })
 */
export function identifyContent(content: RequestContent): string {
  const { method, host, path, caller, body } = content
  const head = JSON.stringify([method, host.toLowerCase(), path, caller])
  const hash = createHash('sha256').update(head)
  for (const block of body) hash.update(block)
  return hash.digest('hex').slice(0, ID_LENGTH)
}
