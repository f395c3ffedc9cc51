/** Loaded into a program with `--import`: refuses its connections to some TCP ports. */
import { Socket, type TcpSocketConnectOpts } from 'node:net'

/** Environment variable with the ports, separated by commas. */
const CUT_PORTS = 'THROW_FAULTS_CUT_PORTS'

/** Port on which nothing listens. */
const REFUSING_PORT = 1

const cutPorts = new Set(process.env[CUT_PORTS]?.split(',').map(Number))

type Connect = (this: Socket, ...args: unknown[]) => Socket

const target = Socket.prototype as unknown as { connect: Connect }
const { connect } = target

target.connect = function (...args) {
  // The runtime's own functions pass an array of the options and the callback.
  const [first] = args
  const options: unknown = Array.isArray(first) ? first[0] : first
  if (isTcp(options) && cutPorts.has(Number(options.port))) options.port = REFUSING_PORT
  return connect.apply(this, args)
}

function isTcp(options: unknown): options is TcpSocketConnectOpts {
  return typeof options === 'object' && options !== null && 'port' in options
}
