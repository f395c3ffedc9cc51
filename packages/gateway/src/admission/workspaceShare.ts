/** Which part of a workspace's requests is beyond its share. */

/** Multiple of the mean of the other workspaces up to which a workspace is within its share. */
const SHARE_FACTOR = 1.5

/**
 * Standard deviations of a random count that are no excess: an instance that gets two requests
 * a second meets few of each workspace.
 */
const MARGIN_DEVIATIONS = 2

/** Recent requests of the other workspaces from which their mean is believed. */
const LEAST_OTHER_REQUESTS = 3

/**
 * Part of a workspace's recent requests that is beyond its share, from 0 to 1; 0 for a
 * workspace that is alone. All workspaces have equal shares.
 *
 * @param use Recent requests by workspace.
 *
 * @example
 * excessPart([['a', 100], ['b', 10], ['c', 10]], 'a') // 0.77
 */
export function excessPart(
  use: readonly (readonly [string, number])[],
  workspace: string,
): number {
  let own = 0
  let others = 0
  for (const [name, amount] of use) {
    if (name === workspace) own += amount
    else others += amount
  }
  if (own <= 0 || others < LEAST_OTHER_REQUESTS) return 0
  const share = (SHARE_FACTOR * others) / (use.length - 1)
  return Math.max(0, 1 - (share + MARGIN_DEVIATIONS * Math.sqrt(share)) / own)
}
