/** Ports for servers that start some time after their port was chosen. */
import { createServer } from 'node:net'

const LOCALHOST = '127.0.0.1'

/**
 * Range of the ports. It ends below those that operating systems give to outgoing
 * connections and to servers that ask for any port, so that none of these takes a port
 * before its server starts.
 */
const FIRST_PORT = 10_000
const PORT_COUNT = 22_000

/** Ports between the first candidates of two processes with neighbouring ids. */
const PORTS_PER_PROCESS = 100

let offset = (process.pid * PORTS_PER_PROCESS) % PORT_COUNT

/**
 * Finds ports on loopback that are free at the time of the call. Neither a later call nor
 * a test process that runs at the same time gets the same ports soon.
 *
 * @example
 * const [callers = 0, metrics = 0] = await findFreePorts(2)
 */
export async function findFreePorts(count: number): Promise<number[]> {
  const ports: number[] = []
  for (let tried = 0; ports.length < count; tried += 1) {
    if (tried > PORT_COUNT) throw new Error(`found no ${count} free ports`)
    const port = FIRST_PORT + offset
    offset = (offset + 1) % PORT_COUNT
    if (await isFree(port)) ports.push(port)
  }
  return ports
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer()
    server.once('error', () => {
      resolve(false)
    })
    server.listen(port, LOCALHOST, () => {
      server.close(() => {
        resolve(true)
      })
    })
  })
}
