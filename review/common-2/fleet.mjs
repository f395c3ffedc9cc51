/** Starts gateways as the deploy file does, sends requests to them, and keeps the record. */
import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { request } from 'node:http'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..')

/** End of each gateway's log that is kept. */
const KEPT_LOG_CHARS = 65_536

export const hasTrouble = process.env.TROUBLE !== '0'

export function sleep(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms))
}

/** Ports that are free on an address. */
export async function freePorts(host, count) {
  const servers = await Promise.all(
    Array.from({ length: count }, async () => {
      const server = createServer()
      await new Promise((resolve, reject) => {
        server.once('error', reject)
        server.listen(0, host, resolve)
      })
      return server
    }),
  )
  const ports = servers.map((server) => server.address().port)
  await Promise.all(
    servers.map((server) => new Promise((resolve) => server.close(resolve))),
  )
  return ports
}

/** Settings of one machine, as those of the site `gebeta-queue` with other addresses. */
function settingsOf({ name, host, zone, ports, store, seeds, memoryMb, bounds }) {
  const [front, ready, control, internal] = ports
  const merged = {
    seedLagS: 3,
    reuseAfterS: 2,
    contactMs: 3000,
    confirmationMs: 4000,
    catchUpS: 4,
    drainMs: 2000,
    graceS: 8,
    lossSlackMs: 200,
    configurationMs: 2000,
    rollbackSlackMs: 250,
    outerBoundMs: 5000,
    strictRevocation: false,
    revocationMs: 5000,
    budgetRatio: 0.9,
    budgetWindowS: 10,
    budgetSlack: 56,
    exposureShare: 0.15,
    exposureSlack: 30,
    rollbackMs: 5000,
    recoveryS: 12,
    passMs: 120,
    reuseWindowS: 10,
    sessionS: 5,
    ...bounds,
  }
  return [
    `nodeName = "${name}"`,
    'role = "gateway"',
    'machineClass = "front"',
    'serves = ["front","control"]',
    `ipAddress = "${host}"`,
    `zone = "${zone}"`,
    'region = "r1"',
    `internalPortRange = [${internal},${internal}]`,
    `seeds = [${seeds.map((seed) => `"${seed}:${control}"`).join(',')}]`,
    'firstStart = true',
    'discovery = "platform"',
    'entry = "virtual_ip"',
    'heartbeatMs = 1200',
    '[listenAddresses]',
    `front = "${host}:${front}"`,
    `ready = "${host}:${ready}"`,
    `control = "${host}:${control}"`,
    '[limits]',
    'cpuShare = 0.675',
    'cores = 1',
    `memoryMb = ${memoryMb}`,
    'fileDescriptors = 4100',
    'linkMbps = 1000.0',
    '[bounds]',
    ...Object.entries(merged).map(([key, value]) => `${key} = ${value}`),
    '[platform]',
    `address = "${store}"`,
    'form = "objects"',
    'writesPerS = 400',
    'readsPerS = 2000',
    'historyS = 20',
    'valueBytes = 1048576',
    '',
  ].join('\n')
}

/** One gateway process. */
class Gateway {
  constructor(options, command, folder) {
    this.options = options
    this.command = command
    this.path = join(folder, `${options.name}.toml`)
    this.logPath = join(folder, `${options.name}.log`)
    this.log = ''
    writeFileSync(this.path, settingsOf(options))
  }

  get host() {
    return this.options.host
  }

  get port() {
    return this.options.ports[0]
  }

  start() {
    const [program, ...args] = this.command
    this.child = spawn(program, args, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        WAGTAILWAY_SETTINGS: this.path,
        WAGTAILWAY_METRICS_PORT: String(this.options.ports[4]),
      },
      stdio: ['ignore', 'pipe', 'inherit'],
    })
    this.child.stdout.on('data', (chunk) => {
      this.log = (this.log + chunk).slice(-KEPT_LOG_CHARS)
    })
    this.exited = new Promise((resolve) => this.child.once('exit', resolve))
  }

  signal(signal) {
    this.child.kill(signal)
  }

  async isReady() {
    const answer = await send({
      host: this.host,
      port: this.options.ports[1],
      path: '/-/readiness',
      timeoutMs: 500,
    })
    return answer.status === 200
  }

  /** Resident memory now, in MB; `undefined` once the process has ended. */
  get residentMb() {
    try {
      const text = readFileSync(`/proc/${this.child.pid}/status`, 'utf8')
      return Number(/VmRSS:\s+(\d+)/.exec(text)?.[1]) / 1_024
    } catch {
      return undefined
    }
  }
}

/** The gateways of a small deployment, each on a loopback address of its own. */
export class Fleet {
  gateways = []
  #folder = mkdtempSync(join(tmpdir(), 'review-'))

  /** @param options `count`, `store` (its address), `memoryMb` and `bounds` that differ. */
  static async create({ count, store, memoryMb = 350, bounds = {} }) {
    const fleet = new Fleet()
    const hosts = Array.from({ length: count }, (_, i) => `127.0.0.${11 + i}`)
    const ports = await freePorts(hosts[0], 5)
    const deploy = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8')
    const command = /^run = "(.*)"$/m.exec(deploy)[1].split(' ')
    fleet.gateways = hosts.map((host, i) => {
      const name = `front-${i + 1}`
      const seeds = hosts.slice(0, 3)
      const options = { name, host, zone: 'z1', ports, store, seeds, memoryMb, bounds }
      return new Gateway(options, command, fleet.#folder)
    })
    for (const gateway of fleet.gateways) gateway.start()
    for (const gateway of fleet.gateways)
      await until(() => gateway.isReady(), 15_000, `${gateway.options.name} isn't ready`)
    return fleet
  }

  async close() {
    for (const { child } of this.gateways) child.kill('SIGKILL')
    await Promise.all(this.gateways.map(({ exited }) => exited))
    rmSync(this.#folder, { recursive: true, force: true })
  }
}

/** Waits until a condition is true. */
export async function until(condition, timeoutMs, complaint) {
  const endsAt = performance.now() + timeoutMs
  while (!(await condition())) {
    if (performance.now() > endsAt) throw new Error(complaint)
    await sleep(25)
  }
}

/** Sends one request as a client does; `status` is 0 if there was no complete answer. */
export function send({
  host,
  port,
  method = 'GET',
  path,
  headers = {},
  body,
  timeoutMs,
  agent,
}) {
  return new Promise((resolve) => {
    const sentAt = performance.now()
    const finish = (status, text = '', answer = {}) => {
      clearTimeout(timer)
      resolve({ status, text, headers: answer, sentAt, endedAt: performance.now() })
    }
    const req = request({ host, port, method, path, headers, agent }, (res) => {
      const chunks = []
      res.on('data', (chunk) => chunks.push(chunk))
      res.on('error', () => undefined)
      res.on('close', () => {
        const text = Buffer.concat(chunks).toString()
        finish(res.complete ? res.statusCode : 0, text, res.headers)
      })
    })
    const timer = setTimeout(() => req.destroy(), timeoutMs ?? 20_000)
    req.on('error', () => finish(0))
    req.end(body)
  })
}

/** Lines of `record.txt` beside a script. */
export class Record {
  #lines = []
  #startedAt = performance.now()

  constructor(folder) {
    this.path = join(folder, 'record.txt')
  }

  add(text, at = performance.now()) {
    const s = ((at - this.#startedAt) / 1_000).toFixed(3)
    this.#lines.push({ at, line: `${s.padStart(8)}  ${text}` })
  }

  write() {
    const sorted = this.#lines.toSorted((a, b) => a.at - b.at)
    writeFileSync(this.path, sorted.map(({ line }) => `${line}\n`).join(''))
  }
}

/**
 * Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
 *
 * @param play Plays the case; resolves to what broke the rule, or `undefined`.
 */
export async function runCase(folder, play) {
  const record = new Record(folder)
  const closers = []
  let status = 2
  try {
    const broken = await play(record, (closer) => closers.push(closer))
    record.add(broken === undefined ? 'the rule held' : `the rule is broken: ${broken}`)
    status = broken === undefined ? 0 : 1
    console.log(broken === undefined ? 'the rule held' : `the rule is broken: ${broken}`)
  } catch (err) {
    record.add(`the case could not run: ${err.stack}`)
    console.error(err)
  }
  for (const close of closers.toReversed()) await close()
  record.write()
  process.exit(status)
}
