/**
 * Loaded into a program with `--import`: throws from its callbacks as a file orders, and
 * records that in another file.
 */
import { openSync, readFileSync, writeSync } from 'node:fs'
import { CallbackThrower } from './callbackThrower.js'
import { throwOrderSchema } from './throwOrder.js'
import { wrapRuntime } from './wrapRuntime.js'

/** Names of the environment variables; the router refuses unknown ones of its own prefix. */
const ORDER_FILE = 'THROW_FAULTS_ORDER'
const RECORD_FILE = 'THROW_FAULTS_RECORDS'
/** Set: the output of logs and the process's own handlers throw as well. */
const ALL_PLACES = 'THROW_FAULTS_ALL'

/** What handles errors and tells of them; the names are those of a bundle. */
const HANDLERS =
  /process\/processLife|output\/(lineWriter|openOutput)|observe\/log|ProcessLife|LineWriter|writeTo(File|Socket|Pipe)|createLog/

/** Pause between two looks at the order, in milliseconds. */
const LOOK_MS = 50

/** Looks between two records of calls. */
const LOOKS_PER_RECORD = 5

const { pid, env } = process

function start(orderFile: string, recordFile: string): void {
  const fd = openSync(recordFile, 'a')
  const write = (record: Readonly<Record<string, unknown>>): void => {
    try {
      writeSync(fd, `${JSON.stringify({ pid, atMs: Date.now(), ...record })}\n`)
    } catch {
      // A record that can't be written must not disturb the program.
    }
  }
  const thrower = CallbackThrower.create({
    clock: () => performance.now(),
    onThrow: (thrown) => {
      write({ type: 'throw', ...thrown })
    },
  })
  const writeCalls = (): void => {
    const calls = thrower.takeCalls()
    if (calls.size > 0) write({ type: 'calls', calls: Object.fromEntries(calls) })
  }
  let orderText = ''
  const look = (): void => {
    const text = readOrder(orderFile)
    if (text === orderText) return
    orderText = text
    const order = throwOrderSchema.safeParse(parseJson(text))
    if (order.success) thrower.follow(order.data)
  }
  let looks = 0
  // Set before the timers are wrapped, so that it is none of their places.
  setInterval(() => {
    look()
    looks += 1
    if (looks % LOOKS_PER_RECORD === 0) writeCalls()
  }, LOOK_MS).unref()
  process.on('exit', writeCalls)
  const throwsEverywhere = env[ALL_PLACES] !== undefined
  wrapRuntime(
    thrower,
    (caller, emitter) =>
      !throwsEverywhere && (emitter === process || HANDLERS.test(caller)),
  )
}

function readOrder(path: string): string {
  try {
    return readFileSync(path, 'utf8')
  } catch {
    return ''
  }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

const orderFile = env[ORDER_FILE]
const recordFile = env[RECORD_FILE]
if (orderFile !== undefined && recordFile !== undefined) start(orderFile, recordFile)
