/** What clients send that keep to no limit: each form is one connection of a crowd. */
import { setTimeout as sleep } from 'node:timers/promises'
import type { Socket } from 'node:net'

/** Address that a crowd calls, and how a request to it looks. */
export interface CrowdTarget {
  readonly port: number
  readonly path: string
  /** Header fields, names and values, that a request needs beside `Host`. */
  readonly headers: (id: string) => Readonly<Record<string, string>>
}

/** One form of clients outside the limits. */
export interface CrowdForm {
  /** Number of connections. */
  readonly count: number
  /** Bound of the process's descriptors, if it is lower than that of all forms. */
  readonly maxDescriptors?: number
  /** Whether the clients read what they are sent, and how fast. */
  readonly reads: 'all' | 'none' | 'slowly'
  /** Writes to one connection; the connection stays open behind it. */
  readonly send: (socket: Socket, target: CrowdTarget, id: string) => Promise<void> | void
}

const BODY_BYTES = 1_000_000
const LARGE_BODY_BYTES = 12_000_000
const PIECE_BYTES = 500
const PIECE_COUNT = 60
const CHUNK_BYTES = 8_000

/** Bytes of the header sections of short fields: within the limit, 16,384. */
const SECTION_BYTES = 15_000

/** Bytes of the unfinished header sections: over the limit, which is found out at their end. */
const UNFINISHED_BYTES = 60_000
const PIPELINED_COUNT = 400
const SLOW_PIECE_COUNT = 8
const SLOW_PAUSE_MS = 60

const body = Buffer.alloc(LARGE_BODY_BYTES, 'x')

function head(method: string, target: CrowdTarget, id: string, more: string): string {
  const fields = Object.entries(target.headers(id)).map(([k, v]) => `${k}: ${v}\r\n`)
  const path = target.path.replace('ID', id)
  return `${method} ${path} HTTP/1.1\r\nHost: app.example\r\n${fields.join('')}${more}`
}

/** Header fields, or trailers, of about five bytes each. */
function shortFields(bytes: number): string {
  let text = ''
  for (let i = 0; text.length < bytes; i += 1) text += `${i.toString(36)}:1\r\n`
  return text
}

const SHORT_FIELDS = shortFields(SECTION_BYTES)
const UNFINISHED_FIELDS = shortFields(UNFINISHED_BYTES)

async function sendInPieces(socket: Socket, text: string, count: number): Promise<void> {
  const size = Math.ceil(text.length / count)
  for (let from = 0; from < text.length && socket.writable; from += size) {
    socket.write(text.slice(from, from + size))
    await sleep(SLOW_PAUSE_MS)
  }
}

const POST = (target: CrowdTarget, id: string, bytes: number): string =>
  head('POST', target, id, `Content-Length: ${bytes}\r\n\r\n`)
const CHUNKED = (target: CrowdTarget, id: string): string =>
  head('POST', target, id, 'Transfer-Encoding: chunked\r\n\r\n')

const SINGLE_FORMS = {
  'bodies in one piece that lack a byte': {
    count: 60,
    reads: 'all',
    send: (socket, target, id) => {
      socket.write(POST(target, id, BODY_BYTES))
      socket.write(body.subarray(0, BODY_BYTES - 1))
    },
  },
  'bodies in small pieces that lack a byte': {
    count: 60,
    reads: 'all',
    send: async (socket, target, id) => {
      socket.write(POST(target, id, PIECE_COUNT * PIECE_BYTES + 1))
      for (let i = 0; i < PIECE_COUNT && socket.writable; i += 1) {
        socket.write(body.subarray(0, PIECE_BYTES))
        await sleep(1)
      }
    },
  },
  'bodies in chunks that lack the last one': {
    count: 60,
    reads: 'all',
    send: (socket, target, id) => {
      const chunk = `${CHUNK_BYTES.toString(16)}\r\n${'x'.repeat(CHUNK_BYTES)}\r\n`
      socket.write(CHUNKED(target, id) + chunk.repeat(BODY_BYTES / CHUNK_BYTES))
    },
  },
  'bodies far over the limit': {
    count: 20,
    reads: 'all',
    send: (socket, target, id) => {
      socket.write(POST(target, id, LARGE_BODY_BYTES))
      socket.write(body)
    },
  },
  'header sections of short fields before a body that lacks a byte': {
    count: 300,
    reads: 'all',
    send: (socket, target, id) => {
      socket.write(head('POST', target, id, `${SHORT_FIELDS}Content-Length: 1\r\n\r\n`))
    },
  },
  'trailers of short fields': {
    count: 300,
    reads: 'all',
    send: (socket, target, id) => {
      socket.write(`${CHUNKED(target, id)}1\r\nx\r\n0\r\n${SHORT_FIELDS}`)
    },
  },
  'chunk extensions': {
    count: 300,
    reads: 'all',
    send: (socket, target, id) => {
      const extension = `;${'e'.repeat(100)}=1`
      const chunk = `1${extension}\r\nx\r\n`
      socket.write(`${CHUNKED(target, id)}${chunk.repeat(100)}1${';e'.repeat(6_000)}`)
    },
  },
  'unfinished header sections': {
    count: 300,
    reads: 'all',
    send: (socket, target, id) => {
      socket.write(head('GET', target, id, UNFINISHED_FIELDS))
    },
  },
  'pipelined requests without reading': {
    count: 60,
    // Each connection may have four requests in progress.
    maxDescriptors: 350,
    reads: 'none',
    send: (socket, target, id) => {
      let text = ''
      for (let i = 0; i < PIPELINED_COUNT; i += 1)
        text += head('GET', target, `${id}-${i}`, '\r\n')
      socket.write(text)
    },
  },
  'slow senders': {
    count: 300,
    reads: 'all',
    send: (socket, target, id) =>
      sendInPieces(
        socket,
        `${POST(target, id, 400)}${'x'.repeat(399)}`,
        SLOW_PIECE_COUNT,
      ),
  },
  'slow readers': {
    count: 300,
    reads: 'slowly',
    send: (socket, target, id) => {
      socket.write(head('GET', target, id, '\r\n').repeat(4))
    },
  },
  'silent connections': { count: 300, reads: 'all', send: () => undefined },
} satisfies Record<string, CrowdForm>

const MIXED_COUNT = 300

/** All forms by name; the last one mixes all others, connection by connection. */
export const CROWD_FORMS: Readonly<Record<string, CrowdForm>> = {
  ...SINGLE_FORMS,
  'all of these mixed': {
    count: MIXED_COUNT,
    reads: 'slowly',
    send: (socket, target, id) => {
      const forms: readonly CrowdForm[] = Object.values(SINGLE_FORMS)
      const index = Number(id.split('-').at(-1)) % forms.length
      return forms[index]?.send(socket, target, id)
    },
  },
}
