/** Makes servers listen for as long as their process runs. */
import type { ListenOptions, Server } from 'node:net'

/**
 * Resolves once a server listens; rejects if it can't, such as with EADDRINUSE. Later errors,
 * such as a connection that can't be accepted, don't end its process: it goes on listening.
 *
 * @example
 * await listen(server, { host: '127.0.0.1', port: 8080 }, (err) => console.error(err))
 */
export async function listen(
  server: Server,
  opts: ListenOptions,
  onError: (err: Error) => void,
): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(opts, () => {
      server.off('error', reject)
      resolve()
    })
  })
  server.on('error', onError)
}
