/** Hash functions that give the same result on every node. */
import xxhash from 'xxhash-wasm'

const { h32 } = await xxhash()

/**
 * 32-bit hash of a text.
 *
 * @example
 * hash32('note-17') % ranges
 */
export function hash32(text: string, seed = 0): number {
  return h32(text, seed)
}

/**
 * Orders nodes by rendezvous hashing. All nodes that know the same set compute the same
 * order, and when a node is removed only the keys assigned to it move.
 *
 * @example
 * rendezvous('session-7', ['n1', 'n2', 'n3'], (node) => node)[0]
 */
export function rendezvous<T>(
  key: string,
  nodes: readonly T[],
  idOf: (node: T) => string,
): T[] {
  const scored = nodes.map((node) => ({
    node,
    score: hash32(`${idOf(node)} ${key}`),
  }))
  return scored
    .toSorted((a, b) => b.score - a.score || (idOf(a.node) < idOf(b.node) ? -1 : 1))
    .map(({ node }) => node)
}
