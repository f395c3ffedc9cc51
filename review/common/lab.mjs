/**
 * What the scripts share: gateways as the deploy file starts them, the project's stand-in of
 * the store, small servers and clients, and the record of a run. All addresses are loopback.
 */
import { spawn } from 'node:child_process'
import { createWriteStream } from 'node:fs'
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises'
import { Agent, createServer as createHttpServer, request } from 'node:http'
import { connect, createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { StoreStandin } from '../../packages/standins/dist/index.js'

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..')

/** Host of the servers and the store. */
export const LOCALHOST = '127.0.0.1'

/** Host header of the route table below. */
export const APP_HOST = 'app.example'

export const API_KEY = 'n2ctnfzs989anu6wsjnb'

/** Whether the run has its disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0'

/** Exit codes of a script. */
const HELD = 0
const BROKEN = 1
const COULD_NOT_RUN = 2

/** Longest time for the gateways to become ready, in milliseconds. */
const START_TIMEOUT_MS = 20_000

/** Time from the start of the gateways until they count as in touch, `contactMs`. */
const CONTACT_MS = 3_000

/** Longest body that a client keeps as text, in bytes. */
const MAX_TEXT_BYTES = 65_536

/** Longest run of a script, in milliseconds. */
const MAX_RUN_MS = 115_000

export { sleep }

/** One run of a script. Closes what it started, whatever happens. */
export class Lab {
  #startedAtMs = performance.now()
  #record
  #closers = []
  #requestCount = 0
  runs = []

  constructor(folder) {
    this.#record = createWriteStream(join(folder, 'record.txt'))
  }

  /** Milliseconds since the start of the script. */
  get nowMs() {
    return Math.round(performance.now() - this.#startedAtMs)
  }

  /** Writes one line of the record: what was sent, answered and run. */
  record(event, fields = {}) {
    this.#record.write(`${this.nowMs} ${event} ${JSON.stringify(fields)}\n`)
  }

  onClose(close) {
    this.#closers.push(close)
  }

  newRequestId() {
    this.#requestCount += 1
    return `${process.pid.toString(16)}-${this.#requestCount}`
  }

  async close() {
    for (const close of this.#closers.reverse()) await close()
    await new Promise((resolve) => this.#record.end(resolve))
  }
}

/**
 * Runs a script and exits with its result.
 *
 * @param scenario Resolves to the breaches that it saw.
 */
export async function runScript(scriptUrl, scenario) {
  const lab = new Lab(dirname(fileURLToPath(scriptUrl)))
  let code = COULD_NOT_RUN
  const timer = setTimeout(() => {
    lab.record('script_took_too_long')
    void lab.close().then(() => process.exit(COULD_NOT_RUN))
  }, MAX_RUN_MS)
  try {
    lab.record('begin', { trouble: HAS_TROUBLE })
    const breaches = await scenario(lab)
    for (const breach of breaches) lab.record('breach', breach)
    code = breaches.length > 0 ? BROKEN : HELD
    lab.record('end', { breaches: breaches.length, exitCode: code })
    console.log(`${breaches.length} breaches, exit code ${code}`)
  } catch (err) {
    lab.record('could_not_run', { err: String(err?.stack ?? err) })
    console.error(err)
  }
  clearTimeout(timer)
  await lab.close()
  process.exit(code)
}

/** A client's connection that is kept for many requests. */
export function keptConnection() {
  return new Agent({ keepAlive: true, maxSockets: 1 })
}

/** Starts the project's stand-in of the store. */
export async function startStore(lab) {
  const store = await StoreStandin.create()
  lab.onClose(() => store.close())
  return store
}

/** Ports that are free on all the given hosts. */
async function findFreePorts(count, hosts) {
  const ports = []
  while (ports.length < count) {
    const candidate = await tryPort(0, hosts[0])
    const others = await Promise.all(hosts.slice(1).map((h) => tryPort(candidate, h)))
    if (others.every((port) => port === candidate) && !ports.includes(candidate))
      ports.push(candidate)
  }
  return ports
}

function tryPort(port, host) {
  return new Promise((resolve) => {
    const server = createServer()
    server.once('error', () => resolve(undefined))
    server.listen(port, host, () => {
      const { port: found } = server.address()
      server.close(() => resolve(found))
    })
  })
}

/**
 * Starts gateways with the command of the deploy file; resolves once all are in touch.
 *
 * @param opts.storePorts Ports at which the gateways reach the store, if not its own. The
 *   gateways then share one host and have ports of their own.
 */
export async function startGateways(lab, store, count, { storePorts } = {}) {
  const folder = await mkdtemp(join(tmpdir(), 'wagtailway-review-'))
  lab.onClose(() => rm(folder, { recursive: true, force: true }))
  const hosts = Array.from({ length: count }, (_, i) =>
    storePorts ? LOCALHOST : `127.0.0.${i + 11}`,
  )
  const common = storePorts ? undefined : await findGatewayPorts(hosts)
  const gateways = []
  for (const [i, host] of hosts.entries()) {
    const ports = common ?? (await findGatewayPorts([host]))
    const storePort = storePorts?.[i] ?? store.port
    const name = `front-${i + 1}`
    const gateway = new Gateway(lab, { name, host, hosts, ports, folder, storePort })
    await gateway.start()
    gateways.push(gateway)
  }
  for (const gateway of gateways) await gateway.waitUntilReady()
  await sleep(CONTACT_MS)
  lab.record('gateways_ready', { count })
  return gateways
}

async function findGatewayPorts(hosts) {
  const [front, ready, control, inner, metrics] = await findFreePorts(5, hosts)
  return { front, ready, control, inner, metrics }
}

/**
 * Serves the store to one gateway with other addresses of the replicas, so that the gateway
 * reaches them through proxies of its own. Resolves with its port.
 *
 * @param addresses Replacements by the address that the store has.
 */
export async function startStoreView(lab, store, addresses) {
  const server = createHttpServer((req, res) => {
    const { method, url: path, headers } = req
    const onward = request({ host: LOCALHOST, port: store.port, method, path, headers })
    onward.on('error', () => res.destroy())
    onward.on('response', (answer) => {
      const chunks = []
      answer.on('data', (chunk) => chunks.push(chunk))
      answer.on('end', () => {
        let text = Buffer.concat(chunks).toString()
        for (const [from, to] of addresses) text = text.replaceAll(`"${from}"`, `"${to}"`)
        const era = answer.headers['store-era']
        res.writeHead(answer.statusCode, {
          'Content-Type': 'application/json',
          'Store-Era': era,
        })
        res.end(text)
      })
    })
    req.pipe(onward)
    res.on('close', () => onward.destroy())
  })
  await new Promise((resolve) => server.listen(0, LOCALHOST, resolve))
  lab.onClose(() => closeServer(server))
  return server.address().port
}

/** A proxy of one connection path, which can be cut: open connections and new ones. */
export async function startProxy(lab, target) {
  const [host, port] = target.split(':')
  const sockets = new Set()
  const server = createServer((socket) => {
    const onward = connect({ host, port: Number(port) })
    for (const [from, to] of [
      [socket, onward],
      [onward, socket],
    ]) {
      sockets.add(from)
      from.on('error', () => to.destroy())
      from.on('close', () => sockets.delete(from))
      from.pipe(to)
    }
  })
  await new Promise((resolve) => server.listen(0, LOCALHOST, resolve))
  const cut = () => {
    server.close()
    for (const socket of sockets) socket.resetAndDestroy()
  }
  lab.onClose(cut)
  return { address: `${LOCALHOST}:${server.address().port}`, cut }
}

/** One gateway process. */
export class Gateway {
  #lab
  #opts
  #child
  /** Exit code and signal of the last process. */
  exit

  constructor(lab, opts) {
    this.#lab = lab
    this.#opts = opts
    lab.onClose(() => this.#end())
  }

  get host() {
    return this.#opts.host
  }

  get port() {
    return this.#opts.ports.front
  }

  get name() {
    return this.#opts.name
  }

  get pid() {
    return this.#child.pid
  }

  get isRunning() {
    return this.exit === undefined
  }

  async start() {
    const { name, folder, ports } = this.#opts
    const settingsPath = join(folder, `${name}.toml`)
    await writeFile(settingsPath, settingsText(this.#opts))
    const [program, ...args] = (await readRunCommand()).split(' ')
    const { PATH, HOME, LANG = 'C.UTF-8' } = process.env
    const log = createWriteStream(join(folder, `${name}.log`), { flags: 'a' })
    this.exit = undefined
    this.#child = spawn(program, args, {
      cwd: ROOT,
      env: {
        PATH,
        HOME,
        LANG,
        WAGTAILWAY_SETTINGS: settingsPath,
        WAGTAILWAY_METRICS_PORT: String(ports.metrics),
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    })
    this.#child.stdout.pipe(log)
    this.#child.stderr.on('data', (chunk) => {
      this.#lab.record('gateway_stderr', { name, text: chunk.toString().slice(0, 2_000) })
    })
    this.#child.once('exit', (code, signal) => {
      this.exit = { code, signal }
      this.#lab.record('gateway_exit', { name, code, signal })
    })
  }

  signal(signal) {
    this.#lab.record('signal', { to: this.name, signal })
    this.#child.kill(signal)
  }

  async isReady() {
    const { host, ports } = this.#opts
    const { status } = await send(this.#lab, {
      host,
      port: ports.ready,
      path: '/-/readiness',
      timeoutMs: 1_000,
      isQuiet: true,
    })
    return status === 200
  }

  async waitUntilReady() {
    const deadlineMs = performance.now() + START_TIMEOUT_MS
    while (!(await this.isReady())) {
      if (performance.now() > deadlineMs) throw new Error(`${this.name} is not ready`)
      await sleep(50)
    }
  }

  async waitForExit() {
    while (this.isRunning) await sleep(20)
  }

  async #end() {
    if (!this.#child || this.exit) return
    this.#child.kill('SIGCONT')
    this.#child.kill('SIGKILL')
    await this.waitForExit()
  }
}

async function readRunCommand() {
  const deploy = await readFile(join(ROOT, 'deploy', 'system.toml'), 'utf8')
  const [, command] = /^run = "(.*)"$/m.exec(deploy) ?? []
  if (!command) throw new Error('the deploy file has no run command')
  return command
}

/** Settings like those of the first site. */
function settingsText({ name, host, hosts, ports, storePort }) {
  const seeds = hosts.slice(0, 3).map((seed) => `"${seed}:${ports.control}"`)
  return `nodeName = "${name}"
role = "gateway"
machineClass = "front"
serves = ["front", "control"]
ipAddress = "${host}"
zone = "bole-hall"
region = "addis"
internalPortRange = [${ports.inner}, ${ports.inner}]
seeds = [${seeds.join(', ')}]
firstStart = true
discovery = "platform"
heartbeatMs = 1200
[zones]
bole-hall = "addis"
[listenAddresses]
front = "${host}:${ports.front}"
ready = "${host}:${ports.ready}"
control = "${host}:${ports.control}"
[limits]
cpuShare = 0.675
cores = 1
memoryMb = 350
fileDescriptors = 4100
linkMbps = 1000.0
[bounds]
contactMs = 3000
drainMs = 2000
graceS = 8
lossSlackMs = 200
configurationMs = 2000
budgetRatio = 0.9
budgetWindowS = 10
budgetSlack = 56
exposureShare = 0.15
exposureSlack = 30
sessionS = 5
[platform]
address = "${LOCALHOST}:${storePort}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
`
}

/** A configuration like those of the first site: one route of each kind, one key. */
export function configuration({ version = 1, routes = {} } = {}) {
  const route = {
    host: APP_HOST,
    timeoutMs: 15_000,
    targetLatencyMs: 1_000,
    priority: 1,
    service: 'list-api',
    attempts: 2,
    public: false,
  }
  return {
    version,
    routes: [
      {
        ...route,
        name: 'queue-check',
        pathPrefix: '/check/',
        kind: 'safe',
        ...routes.safe,
      },
      {
        ...route,
        name: 'slot-confirm',
        pathPrefix: '/confirm/',
        kind: 'unsafe',
        attempts: 1,
        ...routes.unsafe,
      },
      {
        ...route,
        name: 'clerk-note',
        pathPrefix: '/note/',
        kind: 'streaming',
        service: 'wagtail-llm',
        attempts: 3,
        streamResumption: true,
        targetGapMs: 1_000,
        ...routes.stream,
      },
    ],
    services: [
      { name: 'list-api', healthPath: '/health', connectionLimit: 110 },
      { name: 'wagtail-llm', healthPath: '/health', connectionLimit: 370 },
    ],
    limits: {
      headerBytes: 16_384,
      bodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{ name: 'hule930', apiKeys: [API_KEY] }],
  }
}

/**
 * Starts a sound replica that runs each request with a handler, and lists it in the store.
 *
 * @param handle Writes the response of one run.
 * @param service Service of the replica.
 * @returns Its address.
 */
export async function startReplica(lab, store, id, handle, service = 'list-api') {
  const server = createHttpServer((req, res) => {
    const chunks = []
    req.on('data', (chunk) => chunks.push(chunk))
    req.on('end', () => {
      const requestId = req.headers['x-request-id']
      res.setHeader('X-Request-Id', requestId ?? '')
      if (req.headers['x-expected-instance'] !== id && req.url !== '/health') {
        res.writeHead(421, { 'X-Not-Executed': '1' }).end()
        return
      }
      if (req.url === '/health') {
        res.writeHead(200, { 'X-Instance-Id': id }).end()
        return
      }
      const run = { id: requestId, replica: id, service, atMs: lab.nowMs }
      lab.runs.push(run)
      lab.record('run', { ...run, method: req.method, path: req.url })
      res.on('close', () => {
        lab.record('run_closed', { id: requestId, whole: res.writableFinished })
      })
      handle(req, res)
    })
  })
  server.keepAliveTimeout = 60_000
  await new Promise((resolve) => server.listen(0, LOCALHOST, resolve))
  lab.onClose(() => closeServer(server))
  const address = `${LOCALHOST}:${server.address().port}`
  store.put('servers', id, {
    service,
    address,
    zone: 'bole-hall',
    version: 'v1',
    slots: 64,
    state: 'ready',
    coldRemainingMs: 0,
    sequence: 1,
    born: Date.now(),
  })
  return address
}

function closeServer(server) {
  server.closeAllConnections()
  return new Promise((resolve) => server.close(resolve))
}

/**
 * Sends one request and reads its answer, on a new connection unless there is an agent. Never
 * rejects.
 *
 * @param opts.read Reads the body from the response, slowly for example.
 */
export function send(lab, opts) {
  const {
    host,
    port,
    method = 'GET',
    path,
    body,
    timeoutMs = 30_000,
    headers = {},
  } = opts
  const id = lab.newRequestId()
  const fields = { id, method, path }
  if (!opts.isQuiet) lab.record('send', fields)
  return new Promise((resolve) => {
    const finish = (result, text = '') => {
      clearTimeout(timer)
      if (!opts.isQuiet) lab.record('answer', { ...fields, ...result })
      resolve({ id, ...result, text })
    }
    const req = request({
      host,
      port,
      method,
      path,
      agent: opts.agent ?? false,
      headers: {
        Host: APP_HOST,
        'X-Request-Id': id,
        'X-Credential': API_KEY,
        ...(body && { 'Content-Length': body.length }),
        ...headers,
      },
    })
    const timer = setTimeout(
      () => req.destroy(new Error('the client gave up')),
      timeoutMs,
    )
    req.on('error', (err) => finish({ status: 0, error: err.message }))
    req.on('response', (res) => {
      const chunks = []
      res.on('data', (chunk) => chunks.push(chunk))
      res.on('error', () => undefined)
      res.on('close', () => {
        const received = Buffer.concat(chunks)
        const text = received.length <= MAX_TEXT_BYTES ? received.toString() : ''
        const signed = res.headers['x-response-signature'] !== undefined
        const { statusCode: status, complete: whole } = res
        finish({ status, bytes: received.length, whole, signed }, text)
      })
      opts.read?.(res)
    })
    req.end(body)
  })
}
