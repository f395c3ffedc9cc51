/** Encodes the updates that entry instances send each other. */
import type { FeedUpdate } from './feedState.js'

/**
 * Encodes an update for one response.
 *
 * @example
 * res.end(encodeFeedUpdate(feed.updateSince(530)))
 */
export function encodeFeedUpdate(update: FeedUpdate<unknown>): Buffer {
  return Buffer.from(JSON.stringify(update))
}
