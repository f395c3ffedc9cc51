/**
 * A failure whose body has no end comes in chunks of one byte. Clients of sound replicas must
 * not lose their answers for it.
 */
import { runSpoiledAnswers } from '../common/spoiledAnswers.mjs'

const CHUNKS = Buffer.from('1\r\na\r\n'.repeat(10_000))

await runSpoiledAnswers(import.meta.url, ({ req, requestId, end }) => {
  const { socket } = req
  let sentBytes = 0
  const head = [
    'HTTP/1.1 500 Internal Server Error',
    `X-Request-Id: ${requestId}`,
    `X-Response-Signature: sig.${requestId}`,
    'Content-Type: text/plain',
    'Transfer-Encoding: chunked',
  ]
  const sendMore = () => {
    while (!socket.destroyed) {
      sentBytes += CHUNKS.length
      if (!socket.write(CHUNKS)) return
    }
  }
  socket.on('error', () => undefined)
  socket.on('drain', sendMore)
  socket.on('close', () => {
    end({ result: 'the gateway closed the connection', sentBytes })
  })
  socket.write(`${head.join('\r\n')}\r\n\r\n`)
  sendMore()
})
