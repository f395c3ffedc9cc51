/** A feed for tests. */
import type { Clock } from '@wagtailway/core'
import { FeedState, type FeedStateOptions, type StorePosition } from '../feedState.js'

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
    onRestored: () => undefined,
    onStoreRecovered: () => undefined,
    onApplied: () => undefined,
    ...opts,
  })
}

/** Position in the first era, or in a later one. */
export function at(revision: number, era = 1): StorePosition {
  return { era, revision }
}
