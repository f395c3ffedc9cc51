/** Throws from the callbacks of a fleet under load and tells what was lost by it. */
import { seededRandom } from '@wagtailway/core'
import { findDamage, type Damage, type GatewayThrow } from './throwDamage.js'
import { ThrowFleet, type ThrowFleetOptions } from './throwFleet.js'
import {
  findWrong,
  isFailed,
  isLost,
  probe,
  sleep,
  startLoad,
  type LoadCall,
} from './throwLoad.js'
import type { ThrowMoment, ThrowRecords } from './throwOrder.js'
import type { ThrowingGateway } from './throwingGateway.js'

export interface ThrowTrialOptions extends ThrowFleetOptions {
  readonly seed: number
  /**
   * Whether the loops of the gateways are observed before and after; takes 22 s.
   *
   * @default true
   */
  readonly observesLoops?: boolean
  /** Throws at each place once, one after the other, or by the seed for some time. */
  readonly plan:
    | {
        readonly mode: 'places'
        readonly isWanted: (place: string) => boolean
        /** By chance if undefined. */
        readonly when?: ThrowMoment | undefined
      }
    | {
        readonly mode: 'seeded'
        readonly forMs: number
        readonly every: number
        readonly pauseMs: number
      }
}

/** What the throws at one place did. */
export interface PlaceResult {
  readonly place: string
  readonly calls: number
  readonly throws: number
  readonly moments: readonly ThrowMoment[]
  /** Calls beyond the exchange without a whole answer or a clear error. */
  readonly lost: number
  /** Calls beyond the exchange with a clear error. */
  readonly failed: number
  /** Ends of the process that followed. */
  readonly ends: number
}

export interface ThrowReport {
  readonly calls: number
  readonly answered: number
  readonly throws: number
  /** Worst first. */
  readonly places: readonly PlaceResult[]
  /** Each promise that was broken. */
  readonly findings: readonly string[]
  /** Lines of the gateways on errors and ends. */
  readonly lines: readonly string[]
}

/** Time from the start of a gateway until its loops are regular, in milliseconds. */
const START_MS = 6_000

/** Halves of the time without requests in which loops are observed, in milliseconds. */
const HALF_MS = 2_500

/** Time under load in which places are collected, in milliseconds. */
const WARM_UP_MS = 6_500

/** Longest wait for a throw at a place, in milliseconds. */
const MAX_REACH_MS = 4_000

/** Time from a throw until the next one of the same gateway, in milliseconds. */
const AFTER_THROW_MS = 1_500

/** Longest time from the last throw until all gateways are ready again, in milliseconds. */
const RECOVERY_MS = 20_000

/** Longest time until a configuration is in force, in milliseconds. */
const CONFIG_MS = 5_000

/** Longest time from the last request until nothing is held, in milliseconds. */
const REST_MS = 5_000

/** Calls of a place beyond the first one at which it may throw. */
const MAX_LATER_CALLS = 5

const POLL_MS = 100

/** Tries until all gateways serve; one takes as long as a stream. */
const MAX_START_ROUNDS = 5

/** Ids of calls in a finding. */
const MAX_IDS = 5

/**
 * Runs a fleet under load and throws from the callbacks of its gateways.
 *
 * @example
 * const plan = { mode: 'seeded', forMs: 10_000, every: 200, pauseMs: 500 } as const
 * const { findings } = await runThrowTrial({ seed: 1, gateways: 3, plan })
 */
export async function runThrowTrial(opts: ThrowTrialOptions): Promise<ThrowReport> {
  const fleet = await ThrowFleet.create(opts)
  const { gateways } = fleet
  try {
    for (const gateway of gateways) await gateway.order({ mode: 'idle' })
    await fleet.waitUntilReady()
    await waitUntilServing(gateways)
    const loops = await observeLoops(gateways, opts)
    const load = startLoad(gateways)
    if (opts.plan.mode === 'places') await throwAtPlaces(gateways, opts.seed, opts.plan)
    else await throwBySeed(gateways, opts.seed, opts.plan)
    const recovery = await waitForRecovery(gateways)
    await load.stop()
    const findings = [
      ...recovery,
      ...checkLoops(loops, await observeLoops(gateways, opts)),
      ...(await checkRest(gateways)),
      ...(await checkConfig(fleet)),
      ...(await checkServing(gateways)),
    ]
    return await createReport(fleet, load.calls, findings)
  } finally {
    await fleet.close()
  }
}

type PlacesPlan = Extract<ThrowTrialOptions['plan'], { mode: 'places' }>
type SeededPlan = Extract<ThrowTrialOptions['plan'], { mode: 'seeded' }>

async function throwBySeed(
  gateways: readonly ThrowingGateway[],
  seed: number,
  { every, pauseMs, forMs }: SeededPlan,
): Promise<void> {
  for (const [i, gateway] of gateways.entries()) {
    const ownSeed = seed * gateways.length + i
    await gateway.order({ mode: 'seeded', seed: ownSeed, every, pauseMs })
  }
  await sleep(forMs)
  for (const gateway of gateways) await gateway.order({ mode: 'idle' })
}

async function throwAtPlaces(
  gateways: readonly ThrowingGateway[],
  seed: number,
  plan: PlacesPlan,
): Promise<void> {
  const random = seededRandom(seed)
  await sleep(WARM_UP_MS)
  const queues = await dividePlaces(gateways, plan.isWanted)
  const throwAt = async (gateway: ThrowingGateway, place: string): Promise<void> => {
    const chosen = random() < 0.5 ? 'before' : 'after'
    const when = plan.when ?? chosen
    const call = 1 + Math.floor(random() * MAX_LATER_CALLS)
    const { throws } = await gateway.readRecords()
    await gateway.order({ mode: 'place', place, call, when })
    const isReached = await becomesTrue(MAX_REACH_MS, async () => {
      const records = await gateway.readRecords()
      return records.throws.length > throws.length
    })
    await gateway.order({ mode: 'idle' })
    if (isReached) await sleep(AFTER_THROW_MS)
    await becomesTrue(RECOVERY_MS, () => gateway.isReady)
  }
  await Promise.all(
    [...queues].map(async ([gateway, places]) => {
      for (const place of places) await throwAt(gateway, place)
    }),
  )
}

/** Gives each place to one of the gateways that have reached it, about as many to each. */
async function dividePlaces(
  gateways: readonly ThrowingGateway[],
  isWanted: (place: string) => boolean,
): Promise<Map<ThrowingGateway, string[]>> {
  const queues = new Map(gateways.map((gateway) => [gateway, [] as string[]]))
  const owners = new Map<string, ThrowingGateway[]>()
  for (const gateway of gateways) {
    for (const [place, count] of sumCalls(await gateway.readRecords())) {
      if (count > 0 && isWanted(place))
        owners.set(place, [...(owners.get(place) ?? []), gateway])
    }
  }
  const fewestFirst = [...owners].sort(([a, x], [b, y]) =>
    x.length === y.length ? a.localeCompare(b) : x.length - y.length,
  )
  for (const [place, candidates] of fewestFirst) {
    const lists = candidates.flatMap((gateway) => queues.get(gateway) ?? [])
    const shortest = candidates
      .map((gateway) => queues.get(gateway) ?? [])
      .sort((a, b) => a.length - b.length)[0]
    if (!lists.includes(place)) shortest?.push(place)
  }
  return queues
}

function sumCalls(
  { calls }: ThrowRecords,
  fromMs = 0,
  untilMs = Number.POSITIVE_INFINITY,
): Map<string, number> {
  const sums = new Map<string, number>()
  for (const record of calls) {
    if (record.atMs < fromMs || record.atMs >= untilMs) continue
    for (const [place, count] of Object.entries(record.calls))
      sums.set(place, (sums.get(place) ?? 0) + count)
  }
  return sums
}

/** Calls of each place in each half of the time that is observed, by gateway. */
type ObservedCalls = ReadonlyMap<string, readonly ReadonlyMap<string, number>[]>

/** Observes the calls of each gateway for a while without requests. */
async function observeLoops(
  gateways: readonly ThrowingGateway[],
  { observesLoops = true }: ThrowTrialOptions,
): Promise<ObservedCalls> {
  if (!observesLoops) return new Map()
  await sleep(START_MS)
  const fromMs = Date.now()
  await sleep(2 * HALF_MS)
  const middleMs = fromMs + HALF_MS
  const observed = new Map<string, readonly ReadonlyMap<string, number>[]>()
  for (const gateway of gateways) {
    const records = await gateway.readRecords()
    observed.set(gateway.name, [
      sumCalls(records, fromMs, middleMs),
      sumCalls(records, middleMs),
    ])
  }
  return observed
}

/** Checks that what ran in both halves before the throws runs after them. */
function checkLoops(before: ObservedCalls, after: ObservedCalls): string[] {
  return [...before].flatMap(([name, [first, second]]) =>
    [...(first ?? [])]
      .filter(([place, calls]) => calls > 0 && (second?.get(place) ?? 0) > 0)
      .filter(([place]) => !after.get(name)?.some((half) => half.get(place)))
      .map(([place]) => `${name}: no longer called: ${place}`),
  )
}

async function waitForRecovery(gateways: readonly ThrowingGateway[]): Promise<string[]> {
  const isReady = await becomesTrue(RECOVERY_MS, () =>
    gateways.every((gateway) => gateway.isReady),
  )
  if (isReady) return []
  return gateways
    .filter((gateway) => !gateway.isReady)
    .map(({ name }) => `${name}: not ready ${RECOVERY_MS} ms after the last throw`)
}

/** Metrics that are zero at rest. */
const HELD =
  /_requests_in_progress$|_relayed_connections$|_memory_bytes\{part="\w+_held"\}$/

async function checkRest(gateways: readonly ThrowingGateway[]): Promise<string[]> {
  const findings: string[] = []
  for (const gateway of gateways) {
    let held: string[] = []
    await becomesTrue(REST_MS, async () => {
      const metrics = await gateway.readMetrics()
      held = [...metrics]
        .filter(([name, value]) => HELD.test(name) && value !== 0)
        .map(([name, value]) => `${gateway.name}: ${name} is ${value} at rest`)
      return metrics.size > 0 && held.length === 0
    })
    findings.push(...held)
  }
  return findings
}

async function checkConfig(fleet: ThrowFleet): Promise<string[]> {
  const version = fleet.changeConfig()
  const findings: string[] = []
  for (const gateway of fleet.gateways) {
    const isInForce = await becomesTrue(CONFIG_MS, async () => {
      const metrics = await gateway.readMetrics()
      return metrics.get('wagtailway_gateway_config_version') === version
    })
    if (!isInForce) findings.push(`${gateway.name}: a new configuration does not arrive`)
  }
  return findings
}

/** Waits until the gateways know each other, which the relayed one depends on. */
async function waitUntilServing(gateways: readonly ThrowingGateway[]): Promise<void> {
  for (let round = 0; (await findUnserved(gateways, `start-${round}`)).length > 0;) {
    round += 1
    if (round === MAX_START_ROUNDS) throw new Error('the gateways do not serve')
    await sleep(POLL_MS)
  }
}

async function checkServing(gateways: readonly ThrowingGateway[]): Promise<string[]> {
  const unserved = await findUnserved(gateways, 'final')
  return unserved.map(
    ({ id, response }) => `${id}: status ${response.status} after the throws`,
  )
}

/** Sends a request of each kind to each gateway; resolves with those that were not served. */
async function findUnserved(
  gateways: readonly ThrowingGateway[],
  prefix: string,
): Promise<readonly LoadCall[]> {
  const calls = await Promise.all(gateways.map((gateway) => probe(gateway, prefix)))
  return calls.flat().filter((call) => isLost(call) || isFailed(call))
}

async function createReport(
  fleet: ThrowFleet,
  calls: readonly LoadCall[],
  findings: readonly string[],
): Promise<ThrowReport> {
  const { gateways } = fleet
  const places = new Map<string, number>()
  const throws: (GatewayThrow & { readonly when: ThrowMoment })[] = []
  for (const gateway of gateways) {
    const records = await gateway.readRecords()
    for (const [place, count] of sumCalls(records))
      places.set(place, (places.get(place) ?? 0) + count)
    for (const { place, atMs, when } of records.throws)
      throws.push({ gateway: gateway.name, place, atMs, when })
  }
  throws.sort((a, b) => a.atMs - b.atMs)
  const isRelayed = (name: string): boolean => gateways.length > 1 && name === 'n1'
  const damages = findDamage(calls, throws, isRelayed)
  const ends = findEnds(gateways, throws)
  const runs = fleet.countRuns()
  const results = [...places].map(([place, count]): PlaceResult => {
    const own = throws.filter((thrown) => thrown.place === place)
    const damaged = (type: Damage['type']): number =>
      damages.filter((damage) => damage.type === type && damage.cause?.place === place)
        .length
    return {
      place,
      calls: count,
      throws: own.length,
      moments: own.map(({ when }) => when),
      lost: damaged('lost'),
      failed: damaged('failed'),
      ends: ends.filter((end) => end?.place === place).length,
    }
  })
  return {
    calls: calls.length,
    answered: calls.filter(({ response }) => response.status === 200 && response.isWhole)
      .length,
    throws: throws.length,
    places: results.sort(
      (a, b) =>
        b.lost - a.lost || b.failed - a.failed || b.ends - a.ends || b.throws - a.throws,
    ),
    findings: [
      ...findings,
      ...countFindings(damages, ends.length),
      ...calls.flatMap((call) => checkCall(call, runs.get(call.id) ?? 0)),
    ],
    lines: gateways.flatMap(({ gateway }) => gateway.findings),
  }
}

function countFindings(damages: readonly Damage[], ends: number): string[] {
  const groups = new Map<string, string[]>()
  for (const { type, call } of damages) {
    const { gateway, response } = call
    const reason = type === 'failed' ? ` with ${response.status} ${response.body}` : ''
    const group = `${gateway}: calls ${type} beyond an exchange${reason.trimEnd()}`
    groups.set(group, [...(groups.get(group) ?? []), call.id])
  }
  return [
    ...[...groups].map(([group, ids]) => {
      const first = ids.slice(0, MAX_IDS).join(' ')
      return `${group}: ${ids.length}, such as ${first}`
    }),
    ...(ends > 0 ? [`${ends} ends of a process that nobody asked for`] : []),
  ]
}

/** Returns the last throw before each end of a process. */
function findEnds(
  gateways: readonly ThrowingGateway[],
  throws: readonly GatewayThrow[],
): (GatewayThrow | undefined)[] {
  return gateways.flatMap(({ name, endedAtMs }) =>
    endedAtMs.map((endMs) =>
      throws.findLast(({ gateway, atMs }) => gateway === name && atMs <= endMs),
    ),
  )
}

function checkCall(call: LoadCall, runs: number): string[] {
  const { id, path, response } = call
  const isOnce = path.startsWith('/once/')
  const wrong = findWrong(call)
  return [
    ...(wrong === undefined ? [] : [`${id}: ${wrong}`]),
    ...(isOnce && runs > 1 ? [`${id}: ran ${runs} times`] : []),
    ...(isOnce && runs > 0 && response.status === 503
      ? [`${id}: was reported as not run but ran`]
      : []),
  ]
}

/** Waits for a condition; resolves with whether it came true in time. */
async function becomesTrue(
  timeoutMs: number,
  condition: () => boolean | Promise<boolean>,
): Promise<boolean> {
  const deadlineMs = performance.now() + timeoutMs
  while (!(await condition())) {
    if (performance.now() > deadlineMs) return false
    await sleep(POLL_MS)
  }
  return true
}
