/**
 * A crowd of clients in a process of its own. It keeps many connections open, sends one request
 * after the other over them in turn, some at a time, and writes what became of them as JSON.
 *
 * Arguments: host, port, name, connections, requests at a time, seconds, and `own` if each
 * request begins a session of its own, or `few` if each connection stays with one.
 */
import { connect } from 'node:net'

const [host, port, name, connections, atATime, seconds, sessions] = process.argv.slice(2)
const counts = { sent: 0, served: 0, other: 0 }
/** Requests on connections that had brought an answer before, and closed without one. */
const closed = []

function open() {
  return new Promise((resolve, reject) => {
    const socket = connect({ host, port: Number(port) })
    socket.setNoDelay(true)
    socket.once('connect', () => resolve(socket))
    socket.once('error', reject)
  })
}

/** Sends one request; resolves with whether its connection is still open. */
function ask(connection, session) {
  const { socket } = connection
  counts.sent += 1
  const id = `${name}-${counts.sent}`
  return new Promise((resolve) => {
    let text = ''
    const finish = (isOpen) => {
      socket.off('data', onData).off('close', onClose)
      resolve(isOpen)
    }
    const onClose = () => {
      if (connection.hasAnswer) closed.push(id)
      finish(false)
    }
    const onData = (chunk) => {
      text += chunk.toString('latin1')
      const headEnd = text.indexOf('\r\n\r\n')
      if (headEnd < 0) return
      const length = Number(/content-length: (\d+)/i.exec(text)?.[1] ?? 0)
      if (text.length < headEnd + 4 + length) return
      if (text.startsWith('HTTP/1.1 200')) counts.served += 1
      else counts.other += 1
      connection.hasAnswer = true
      finish(true)
    }
    socket.on('data', onData).once('close', onClose)
    socket.write(
      `GET /check/1 HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: ${id}\r\n` +
        `X-Credential: key-1\r\nX-Deadline-Remaining: 1500\r\nSession: ${session}\r\n\r\n`,
    )
  })
}

const idle = []
for (let i = 0; i < Number(connections); i += 1) {
  const socket = await open()
  socket.on('error', () => undefined)
  idle.push({ socket, session: `${name}-${i}`, hasAnswer: false })
}
const endsAt = performance.now() + Number(seconds) * 1_000
const work = async () => {
  while (performance.now() < endsAt) {
    const next = idle.shift()
    if (!next || next.socket.destroyed) return
    const session = sessions === 'own' ? `${name}-own-${counts.sent}` : next.session
    if (await ask(next, session)) idle.push(next)
  }
}
await Promise.all(Array.from({ length: Number(atATime) }, work))
process.stdout.write(JSON.stringify({ ...counts, closed }), () => process.exit())
