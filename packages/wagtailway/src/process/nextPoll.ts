/** Waits for input that the system holds and the event loop has not read yet. */

/**
 * Resolves once the event loop has asked the system for input again. After a standstill, a
 * request and the end of its connection lie unread behind each other, and the loop reads them
 * in successive turns: work that is begun in between is done in vain. Takes as long as two
 * turns, which is well below a millisecond in a process that isn't behind.
 *
 * @example
 * const body = await readBody(req)
 * await nextPoll()
 * if (!hasDisconnected) forward(body)
 */
export function nextPoll(): Promise<void> {
  return new Promise((resolve) => {
    // The first runs behind the reads of this turn, the second behind those of the next one.
    setImmediate(() => {
      setImmediate(resolve)
    })
  })
}
