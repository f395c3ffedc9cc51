/**
 * Typed channels and goroutines over js-csp.
 *
 * js-csp has no types, kills the process when a goroutine throws and refuses
 * more than 1,024 pending puts on a channel; this module closes those gaps.
 */
import csp from 'js-csp'

/** A typed channel. Values must not be null, which js-csp uses for "closed". */
export class Channel<T> {
  readonly #raw: ReturnType<typeof csp.chan>

  private constructor(raw: ReturnType<typeof csp.chan>) {
    this.#raw = raw
  }

  /** Creates a channel that holds up to `capacity` values. */
  static create<T>(capacity: number): Channel<T> {
    return new Channel<T>(csp.chan(csp.buffers.fixed(capacity)))
  }

  /** Closes after `ms` milliseconds. */
  static timeout(ms: number): Channel<never> {
    return new Channel<never>(csp.timeout(ms))
  }

  /** Puts a value if there is room now. */
  offer(value: T): boolean {
    return csp.offer(this.#raw, value)
  }

  /** Takes a value if there is one now. */
  poll(): T | undefined {
    const value = csp.poll(this.#raw)
    return value === csp.NO_VALUE || value === csp.CLOSED ? undefined : (value as T)
  }

  /** Takes the next value inside a goroutine; `undefined` once closed. */
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

/** Waits inside a goroutine until one of the channels gives a value or closes; returns its index. */
export function* select(
  channels: readonly Channel<unknown>[],
): Generator<unknown, { index: number; value: unknown }, unknown> {
  const raws = channels.map((channel) => channel.raw)
  const result = (yield csp.alts(raws, { priority: true })) as {
    channel: unknown
    value: unknown
  }
  const index = raws.findIndex((raw) => raw === result.channel)
  return { index, value: result.value === csp.CLOSED ? undefined : result.value }
}

/** Waits inside a goroutine for a promise; rejections come back as errors, not throws. */
export function* settle<T>(
  promise: Promise<T>,
): Generator<unknown, { value: T } | { err: unknown }, unknown> {
  const done = Channel.create<{ value: T } | { err: unknown }>(1)
  promise.then(
    (value) => done.offer({ value }),
    (err: unknown) => done.offer({ err }),
  )
  return (yield* done.take()) as { value: T } | { err: unknown }
}

/**
 * Starts a goroutine. What it throws goes to `onError` and ends only this goroutine.
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
