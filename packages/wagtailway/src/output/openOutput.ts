/** Opens an inherited descriptor, such as standard output, for writes that don't block. */
import { constants, fstatSync, openSync, write } from 'node:fs'

/** Writes the beginning of the bytes; resolves to the number of bytes written. */
export type WriteBytes = (bytes: Buffer) => Promise<number>

/**
 * Returns a function that writes to a descriptor. Writes to a pipe that is full fail with
 * EAGAIN: a write that blocks would hold a thread of the runtime, and the process could not
 * exit.
 *
 * @example
 * const write = openOutput(1)
 * await write(Buffer.from('ready\n')) // 6
 */
export function openOutput(fd: number): WriteBytes {
  const outputFd = reopenPipe(fd)
  return (bytes) =>
    new Promise((resolve, reject) => {
      write(outputFd, bytes, 0, bytes.length, null, (err, count) => {
        if (err) reject(err)
        else resolve(count)
      })
    })
}

/**
 * Opens a pipe once more without blocking. The inherited description may be shared with other
 * processes, which expect it as it is.
 */
function reopenPipe(fd: number): number {
  try {
    if (!fstatSync(fd).isFIFO()) return fd
    return openSync(`/proc/self/fd/${fd}`, constants.O_WRONLY | constants.O_NONBLOCK)
  } catch {
    return fd
  }
}
