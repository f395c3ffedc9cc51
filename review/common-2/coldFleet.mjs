/** A small deployment whose replicas may be cold, under a steady load of bookings. */
import { Fleet, send, sleep } from './fleet.mjs'
import { Replica } from './replica.mjs'
import { Store } from './store.mjs'

/** As in the site file `demands/cpcsu-visa-grown.toml` and its settings. */
const COLD_PER_S = 6.7
const COLD_OVER = 1.5
const COLD_SLACK = 5
export const COLD_MS = 3_000

/** The most requests that a cold replica may get in one second, by the rule FAILBACK. */
const BOUND = COLD_PER_S * COLD_OVER + COLD_SLACK

/** Requests in one second under which a cold replica crashes: well above what it tolerates. */
const CRASH_PER_S = 3 * COLD_PER_S

const REPLICAS = 4
const GATEWAYS = 3
const REQUESTS_PER_S = 120
const WORK_MS = 40

/** Time after which instances that have started follow the store closely. */
const SETTLING_MS = 5_000

/** The configuration of the operator. */
export function configOf(version) {
  return {
    version,
    routes: [
      {
        name: 'slot-book',
        host: 'app.example',
        pathPrefix: '/book/',
        kind: 'unsafe',
        timeoutMs: 2_600,
        targetLatencyMs: 253,
        priority: 2,
        service: 'booking',
        attempts: 1,
        public: false,
      },
    ],
    services: [
      {
        name: 'booking',
        healthPath: '/health',
        connectionLimit: 460,
        coldStartS: COLD_MS / 1_000,
        coldPerS: COLD_PER_S,
      },
    ],
    limits: {
      headerBytes: 16_384,
      bodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{ name: 'hall', apiKeys: ['key-1'], priority: 1 }],
  }
}

/** Store, replicas, gateways and clients. */
export class ColdFleet {
  #coldRuns = []
  #ranIds = new Set()
  #answers = []
  #count = 0
  #timer

  constructor(record, store, fleet) {
    this.record = record
    this.store = store
    this.fleet = fleet
    this.replicas = []
  }

  /** @param onEnd Takes what ends a part after the case. */
  static async create(record, onEnd) {
    const store = await Store.create('127.0.0.1', 0)
    onEnd(() => store.close())
    store.put('config', 'main', configOf(7))
    const cold = new ColdFleet(record, store)
    for (let i = 0; i < REPLICAS; i += 1) await cold.addReplica(onEnd)
    const bounds = {
      contactMs: 4_000,
      confirmationMs: 6_000,
      sessionS: 8.5,
      exposureShare: 0.0975,
      coldOver: COLD_OVER,
      coldSlack: COLD_SLACK,
      evacuationMs: 5_000,
    }
    cold.fleet = await Fleet.create({ count: GATEWAYS, store: store.address, bounds })
    onEnd(() => cold.fleet.close())
    await sleep(SETTLING_MS)
    onEnd(() => clearInterval(cold.#timer))
    return cold
  }

  /** Starts a replica and writes its entry. */
  async addReplica(onEnd, coldMs = 0) {
    const id = `i-${this.replicas.length}`
    const replica = await Replica.create({
      id,
      service: 'booking',
      host: '127.0.0.1',
      slots: 6,
      workMs: () => WORK_MS,
      coldCrashPerS: CRASH_PER_S,
      onCrash: () => {
        this.record.add(`${id} crashes under its load`)
        this.store.remove('servers', id)
      },
      onRun: (run) => {
        this.#ranIds.add(run.request)
        if (run.isCold) this.#coldRuns.push(run)
        const state = run.isCold ? ', which is cold' : ''
        this.record.add(`${run.request} reaches ${id}${state}`, run.at)
      },
    })
    onEnd(() => replica.close())
    replica.coldUntil = performance.now() + coldMs
    this.replicas.push(replica)
    this.write(replica)
    return replica
  }

  /** Writes the entry of a replica, as it does itself while it runs. */
  write(replica) {
    if (!replica.isDown) this.store.put('servers', replica.options.id, replica.entry)
  }

  /** Begins to send bookings to one gateway after the other. */
  startTraffic() {
    this.#timer = setInterval(() => {
      this.#sendBooking()
    }, 1_000 / REQUESTS_PER_S)
  }

  /** Ends the traffic; resolves to what broke the rule, or `undefined`. */
  async judge() {
    clearInterval(this.#timer)
    const answers = await Promise.all(this.#answers)
    const served = answers.filter(({ status }) => status === 200).length
    const lost = answers.filter(
      ({ id, status }) => status !== 200 && this.#ranIds.has(id),
    )
    const times = this.#coldRuns.map(({ at }) => at)
    const counts = times.map(
      (from) => times.filter((at) => at >= from && at < from + 1_000).length,
    )
    const worst = Math.max(0, ...counts)
    const summary = [
      `${answers.length} bookings, ${served} served`,
      `${lost.length} reached a replica and got no answer of it`,
      `${times.length} reached a cold replica, ${worst} in one second at most`,
      `the bound is ${BOUND.toFixed(2)}`,
    ].join('; ')
    this.record.add(summary)
    console.log(summary)
    if (served < answers.length * 0.8) throw new Error('too few requests were served')
    return worst > BOUND
      ? `a cold replica got ${worst} requests in one second, and may get ${BOUND.toFixed(2)}`
      : undefined
  }

  #sendBooking() {
    const { gateways } = this.fleet
    const { host, port } = gateways[this.#count % gateways.length]
    const id = `r-${this.#count}`
    this.#count += 1
    const headers = {
      Host: 'app.example',
      'X-Request-Id': id,
      'X-Credential': 'key-1',
      'X-Deadline-Remaining': '2600',
    }
    const sent = send({
      host,
      port,
      method: 'POST',
      path: `/book/${id}`,
      headers,
      body: '{}',
    })
    this.#answers.push(
      sent.then((answer) => {
        this.record.add(`${id} is answered with ${answer.status}`, answer.endedAt)
        return { id, ...answer }
      }),
    )
  }
}
