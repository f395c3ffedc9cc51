import assert from 'node:assert/strict'
import { createSocket, type Socket as UdpSocket } from 'node:dgram'
import { createServer, type AddressInfo, type Server } from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { VirtualClock } from '@wagtailway/core'
import { createMetrics, type GatewayMetrics } from '../../observe/metrics.js'
import { Sockets } from '../sockets.js'

const HOST = '127.0.0.1'

const SETTING_OF = {
  callers: 'front',
  readiness: 'ready',
  feeds: 'control',
  reports: 'peers',
  relays: 'peers',
  metrics: 'metrics-port',
}

let clock: VirtualClock
let metrics: GatewayMetrics
let sockets: Sockets
let lines: { event: string; fields: Readonly<Record<string, unknown>> }[]
const open: (Server | UdpSocket)[] = []

function tcp(): Server {
  const server = createServer()
  open.push(server)
  return server
}

function portOf(socket: Server | UdpSocket): number {
  return (socket.address() as AddressInfo).port
}

function emitErrors(socket: Server | UdpSocket, count: number, code?: string): void {
  for (let i = 0; i < count; i++)
    socket.emit('error', Object.assign(new Error('accept'), code && { code }))
}

beforeEach(() => {
  clock = VirtualClock.create()
  metrics = createMetrics()
  lines = []
  sockets = Sockets.create({
    settingOf: SETTING_OF,
    maxWaitMs: 0,
    log: (event, fields) => lines.push({ event, fields }),
    metrics,
    clock: clock.now,
  })
})

afterEach(() => {
  sockets.stopWaiting()
  for (const socket of open.splice(0)) socket.close()
})

describe('listening sockets', () => {
  it('write nothing if their address is free', async () => {
    await sockets.required('callers', { host: HOST, port: 0 })(tcp())
    await sockets.late('metrics', { host: HOST, port: 0 })(tcp())
    assert.deepEqual(lines, [])
  })

  it('that are required fail with their name, address and setting', async () => {
    const holder = tcp()
    await sockets.required('callers', { host: HOST, port: 0 })(holder)
    const port = portOf(holder)
    await assert.rejects(
      sockets.required('readiness', { host: HOST, port })(tcp()),
      new Error(
        `the socket for readiness at ${HOST}:${port} (setting ready) can't be bound: EADDRINUSE, tried for 0 ms`,
      ),
    )
  })

  it('that may come late reject an address that no attempt can use', async () => {
    await assert.rejects(
      sockets.late('metrics', { host: HOST, port: 70_000 })(tcp()),
      /metrics at 127\.0\.0\.1:70000 \(setting metrics-port\).*ERR_SOCKET_BAD_PORT/,
    )
  })

  it('that may come late are tried again and shown meanwhile', async () => {
    const holder = tcp()
    await sockets.required('callers', { host: HOST, port: 0 })(holder)
    const port = portOf(holder)
    const late = tcp()
    await sockets.late('metrics', { host: HOST, port })(late)
    assert.equal(late.listening, false)
    const about = {
      socket: 'metrics',
      address: `${HOST}:${port}`,
      setting: 'metrics-port',
    }
    assert.deepEqual(lines, [
      { event: 'socket_waiting', fields: { ...about, code: 'EADDRINUSE', waitedMs: 0 } },
    ])
    const { values } = await metrics.waitingSockets.get()
    assert.deepEqual(
      values.map(({ labels, value }) => ({ labels, value })),
      [{ labels: { socket: 'metrics' }, value: 1 }],
    )
    const listening = new Promise((resolve) => late.once('listening', resolve))
    holder.close()
    await listening
  })

  it('log their errors at a bounded rate and count them all', async () => {
    const server = tcp()
    await sockets.required('callers', { host: HOST, port: 0 })(server)
    const udp = createSocket('udp4')
    open.push(udp)
    await sockets.required('reports', { host: HOST, port: 0 })(udp)
    emitErrors(server, 1_000, 'EMFILE')
    emitErrors(udp, 3)
    clock.advance(30_000)
    emitErrors(server, 1, 'ENOBUFS')
    assert.deepEqual(
      lines.map(({ event, fields }) => [
        event,
        fields['socket'],
        fields['code'],
        fields['unlogged'],
      ]),
      [
        ['socket_error', 'callers', 'EMFILE', 0],
        ['socket_error', 'reports', 'unknown', 0],
        ['socket_error', 'callers', 'ENOBUFS', 999],
      ],
    )
    const { values } = await metrics.socketErrors.get()
    assert.deepEqual(
      values.map(({ labels, value }) => [labels.socket, labels.code, value]),
      [
        ['callers', 'EMFILE', 1_000],
        ['reports', 'unknown', 3],
        ['callers', 'ENOBUFS', 1],
      ],
    )
  })
})
