/** Encodes the updates that entry instances send each other. */
import { gzipSync } from 'node:zlib'
import type { FeedEvent, FeedUpdate } from './feedState.js'

/** Updates with fewer bytes are sent as they are. */
const MIN_COMPRESSED_BYTES = 4_096

/** Fastest level; names of routes and services repeat, so it already saves most bytes. */
const COMPRESSION_LEVEL = 1

/** Body of a response with an update. */
export interface EncodedUpdate {
  readonly body: Buffer
  readonly isCompressed: boolean
}

interface EncodedEvents {
  readonly events: readonly FeedEvent<unknown>[]
  readonly text: Buffer
  /** `undefined` until an instance that accepts compression asks for it. */
  compressed: Buffer | undefined
}

/**
 * Encodes the updates of one feed. Keeps the last events in encoded form, because many
 * instances request the same update after a change.
 *
 * @example
 * const encoder = FeedEncoder.create()
 * const { body, isCompressed } = encoder.encode(feed.updateSince({ era: 1, revision: 530 }), true)
 */
export class FeedEncoder {
  #last: EncodedEvents | undefined

  static create(): FeedEncoder {
    return new FeedEncoder()
  }

  encode({ events, ...head }: FeedUpdate<unknown>, acceptsGzip: boolean): EncodedUpdate {
    const encoded = this.#encodeEvents(events)
    const [start, end] = JSON.stringify({ ...head, events: [] }).split('[]')
    const before = Buffer.from(start ?? '')
    const after = Buffer.from(end ?? '')
    if (!acceptsGzip || encoded.text.length < MIN_COMPRESSED_BYTES) {
      const body = Buffer.concat([before, encoded.text, after])
      return { body, isCompressed: false }
    }
    encoded.compressed ??= compress(encoded.text)
    // A sequence of compressed parts decompresses to the sequence of their contents.
    const body = Buffer.concat([compress(before), encoded.compressed, compress(after)])
    return { body, isCompressed: true }
  }

  #encodeEvents(events: readonly FeedEvent<unknown>[]): EncodedEvents {
    if (this.#last && haveSameObjects(this.#last.events, events)) return this.#last
    const text = Buffer.from(JSON.stringify(events))
    this.#last = { events, text, compressed: undefined }
    return this.#last
  }
}

function compress(bytes: Buffer): Buffer {
  return gzipSync(bytes, { level: COMPRESSION_LEVEL })
}

function haveSameObjects(
  a: readonly FeedEvent<unknown>[],
  b: readonly FeedEvent<unknown>[],
): boolean {
  return (
    a.length === b.length &&
    a.every(({ name, object }, i) => b[i]?.name === name && b[i].object === object)
  )
}
