/**
 * One byte in the name of a header of an answer is wrong. Clients of sound replicas must not
 * lose their answers for it.
 */
import { runSpoiledAnswers } from '../common/spoiledAnswers.mjs'

await runSpoiledAnswers(import.meta.url, ({ req, requestId }) => {
  const head = [
    'HTTP/1.1 200 OK',
    `X-Request-Id: ${requestId}`,
    `X-Response-Signature: sig.${requestId}`,
    'Content-Type: text/event-stream',
    // The hyphen of the name has become a space.
    'Cache Control: no-store',
    'Transfer-Encoding: chunked',
  ]
  const event = 'id: 1\ndata: 1\n\n'
  const chunk = `${event.length.toString(16)}\r\n${event}\r\n0\r\n\r\n`
  req.socket.end(`${head.join('\r\n')}\r\n\r\n${chunk}`)
})
