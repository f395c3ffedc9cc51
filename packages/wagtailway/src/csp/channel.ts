/**
 * Typed channels and goroutines over js-csp.
 *
 * js-csp has no types, crashes the process when a goroutine throws, and throws
 * beyond 1,024 pending puts on a channel. This module adds types, reports errors
 * to a callback and puts values only if there is room.
 */
import csp from 'js-csp'

/** A typed channel. Values must not be null, which js-csp uses to signal a closed channel. */
export class Channel<T> {
  readonly #raw: ReturnType<typeof csp.chan>

  private constructor(raw: ReturnType<typeof csp.chan>) {
    this.#raw = raw
  }

  /** Creates a channel that buffers up to `capacity` values. */
  static create<T>(capacity: number): Channel<T> {
    return new Channel<T>(csp.chan(csp.buffers.fixed(capacity)))
  }

  /** Creates a channel that closes after `ms` milliseconds. */
  static timeout(ms: number): Channel<never> {
    return new Channel<never>(csp.timeout(ms))
  }

  /** Puts a value without waiting; returns false if the channel has no room. */
  offer(value: T): boolean {
    return csp.offer(this.#raw, value)
  }

  /** Takes a value without waiting; `undefined` if there is none. */
  poll(): T | undefined {
    const value = csp.poll(this.#raw)
    return value === csp.NO_VALUE || value === csp.CLOSED ? undefined : (value as T)
  }

  /**
   * Waits inside a goroutine for the next value; `undefined` once the channel is closed
   * and empty.
   */
  *take(): Generator<unknown, T | undefined, unknown> {
    const value = yield csp.take(this.#raw)
    return value === csp.CLOSED ? undefined : (value as T)
  }

  close(): void {
    this.#raw.close()
  }

  /** The js-csp channel, for {@link select}. */
  get raw(): ReturnType<typeof csp.chan> {
    return this.#raw
  }
}

/**
 * Waits inside a goroutine until one of the channels yields a value or is closed; returns
 * its index and the value. If several are ready, the first in the list has priority.
 */
export function* select(
  channels: readonly Channel<unknown>[],
): Generator<unknown, { index: number; value: unknown }, unknown> {
  const rawChannels = channels.map((channel) => channel.raw)
  const result = (yield csp.alts(rawChannels, { priority: true })) as {
    channel: unknown
    value: unknown
  }
  const index = rawChannels.findIndex((raw) => raw === result.channel)
  return { index, value: result.value === csp.CLOSED ? undefined : result.value }
}

/** Waits inside a goroutine for a promise; a rejection is returned as `err` instead of thrown. */
export function* awaitPromise<T>(
  promise: Promise<T>,
): Generator<unknown, { value: T } | { err: unknown }, unknown> {
  const settled = Channel.create<{ value: T } | { err: unknown }>(1)
  promise.then(
    (value) => settled.offer({ value }),
    (err: unknown) => settled.offer({ err }),
  )
  return (yield* settled.take()) as { value: T } | { err: unknown }
}

/**
 * Starts a goroutine. An error that it throws ends only this goroutine and is passed to `onError`.
 *
 * @example
 * spawn(function* () { yield* jobs.take() }, (err) => log.error(err))
 */
export function spawn(body: () => Generator, onError: (err: unknown) => void): void {
  csp.go(function* () {
    try {
      yield* body()
    } catch (err) {
      onError(err)
    }
  })
}
