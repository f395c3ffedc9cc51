/** Opens the connections of a crowd and holds them open. */
import { connect, type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import type { CrowdForm, CrowdTarget } from './crowdForms.js'

/** Interval at which a slow reader reads a little, in milliseconds. */
const SLOW_READ_MS = 50

/**
 * The connections of one form to one address.
 *
 * @example
 * const crowd = await Crowd.create(CROWD_FORMS['slow senders'], target)
 * crowd.close()
 */
export class Crowd {
  readonly #timers: NodeJS.Timeout[] = []

  private constructor(private readonly sockets: readonly Socket[]) {}

  /** Resolves once all has been written, or the connections were closed by the other side. */
  static async create(form: CrowdForm, target: CrowdTarget): Promise<Crowd> {
    const sockets = Array.from({ length: form.count }, () => {
      const socket = connect(target.port, '127.0.0.1')
      // A reset or a refused connection is an allowed answer to a crowd.
      socket.on('error', () => undefined)
      return socket
    })
    const crowd = new Crowd(sockets)
    await Promise.all(
      sockets.map(async (socket, i) => {
        await opened(socket)
        if (form.reads === 'all') socket.resume()
        if (form.reads === 'slowly') crowd.#readSlowly(socket)
        await form.send(socket, target, `c-${i}`)
        await written(socket)
      }),
    )
    return crowd
  }

  get openCount(): number {
    return this.sockets.filter(({ closed, destroyed }) => !closed && !destroyed).length
  }

  close(): void {
    for (const timer of this.#timers) clearInterval(timer)
    for (const socket of this.sockets) socket.destroy()
  }

  #readSlowly(socket: Socket): void {
    socket.on('data', () => socket.pause())
    this.#timers.push(
      setInterval(() => {
        socket.resume()
      }, SLOW_READ_MS),
    )
  }
}

function opened(socket: Socket): Promise<void> {
  return new Promise((resolve) => {
    for (const event of ['connect', 'close'])
      socket.once(event, () => {
        resolve()
      })
  })
}

/** Longest wait for the other side to take what was written, in milliseconds. */
const WRITTEN_MS = 400
const POLL_MS = 20

async function written(socket: Socket): Promise<void> {
  const untilMs = performance.now() + WRITTEN_MS
  while (socket.writableLength > 0 && !socket.destroyed) {
    if (performance.now() > untilMs) return
    await sleep(POLL_MS)
  }
}
