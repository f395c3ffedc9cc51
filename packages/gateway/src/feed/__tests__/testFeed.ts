/** A feed for tests. */
import type { Clock } from '@wagtailway/core'
import { FeedState, type FeedStateOptions } from '../feedState.js'

/** Creates a feed that calls nobody, except for the given callbacks. */
export function createTestFeed<T>(
  clock: Clock,
  opts: Partial<FeedStateOptions<T>> = {},
): FeedState<T> {
  return FeedState.create<T>({
    kind: 'config',
    clock,
    isSame: (a, b) => a === b,
    onList: () => undefined,
    onChanges: () => undefined,
    onStoreRecovered: () => undefined,
    onApplied: () => undefined,
    ...opts,
  })
}
