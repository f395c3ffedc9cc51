/** Opens an inherited descriptor, such as standard output, for writes that don't block. */
import { constants, fstatSync, openSync, write } from 'node:fs'
import { Socket } from 'node:net'

/** Writes the beginning of the bytes; resolves to the number of bytes written. */
export type WriteBytes = (bytes: Buffer) => Promise<number>

/**
 * Returns a function that writes to a descriptor. A write that blocks would hold a thread of
 * the runtime, and the process could not exit: writes to a pipe that is full fail with EAGAIN,
 * and those to a socket wait without a thread.
 *
 * @example
 * const write = openOutput(1)
 * await write(Buffer.from('ready\n')) // 6
 */
export function openOutput(fd: number): WriteBytes {
  try {
    const stats = fstatSync(fd)
    if (stats.isSocket()) return writeToSocket(fd)
    return stats.isFIFO() ? writeToPipe(fd) : writeToFile(fd)
  } catch {
    return writeToFile(fd)
  }
}

function writeToFile(fd: number): WriteBytes {
  return (bytes) =>
    new Promise((resolve, reject) => {
      write(fd, bytes, 0, bytes.length, null, (err, count) => {
        if (err) reject(err)
        else resolve(count)
      })
    })
}

function writeToSocket(fd: number): WriteBytes {
  const socket = new Socket({ fd, readable: false, writable: true })
  // The writes report the error as well.
  socket.on('error', () => undefined)
  return (bytes) =>
    new Promise((resolve, reject) => {
      socket.write(bytes, (err) => {
        if (err) reject(err)
        else resolve(bytes.length)
      })
    })
}

/**
 * Opens the pipe once more without blocking: its inherited description may be shared with other
 * processes, which expect it as it is. A pipe that another user has created can't be opened.
 */
function writeToPipe(fd: number): WriteBytes {
  const flags = constants.O_WRONLY | constants.O_NONBLOCK
  try {
    return writeToFile(openSync(`/proc/self/fd/${fd}`, flags))
  } catch (err) {
    const { code } = err as NodeJS.ErrnoException
    return code === 'EACCES' ? writeToSocket(fd) : writeToFile(fd)
  }
}
