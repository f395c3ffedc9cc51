/** A version that turns bad under live traffic, on real processes. */
import { setTimeout as delay } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { rolloutObject, rolloutStateSchema, seededRandom } from '@wagtailway/core'
import { PlatformClient } from '@wagtailway/platform'
import { Deployment } from '../../harness/deployment.js'
import { ChatCaller } from '../../load/chatCaller.js'
import { openLoop } from '../../load/openLoop.js'

export interface LiveRolloutOptions {
  readonly routers: number
  readonly ratePerSecond: number
  /** Length of the load in seconds. */
  readonly seconds: number
  readonly seed: number
}

/** Times are seconds after the load began. */
export interface LiveRolloutReport {
  readonly sent: number
  readonly answered: number
  /** Answers of the new version while it was good. */
  readonly goodExposed: number
  /** Answers of the new version from when it turned bad. */
  readonly badExposed: number
  readonly turnedBadAt: number | undefined
  /** When every instance had stopped sending to it, by their metrics. */
  readonly withdrawnAt: number | undefined
  /** Answers of the new version to requests sent after that. */
  readonly exposedAfterWithdrawal: number
  /** Phase and reason that stand in the platform at the end. */
  readonly phase: string
}

const DECLARATIONS = new URL('../../../../../playground/rollout', import.meta.url)
const NEW_VERSION = 'summariser@large2'
const ENGINES = [
  ['e1', 'summariser@small'],
  ['e2', 'summariser@large'],
  ['e3', 'summariser@large'],
  ['e4', 'summariser@large2'],
  ['e5', 'summariser@large2'],
] as const
const WITHDRAWN_LINE = /rollout_changes_total\{phase="withdrawn"\} [1-9]/
const GOOD = 0.92
const BAD = 0.3
const POLL_MS = 100
const MS_PER_SECOND = 1_000

/** Answers of the new version after which it turns bad. */
const ANSWERS_BEFORE_BAD = 60

/**
 * Starts a deployment with a roll-out under way, sends requests and turns the new
 * version bad once it has answered some.
 *
 * @example
 * const report = await runLiveRollout({ routers: 3, ratePerSecond: 60, seconds: 60, seed: 1 })
 */
export async function runLiveRollout(
  opts: LiveRolloutOptions,
): Promise<LiveRolloutReport> {
  const deployment = await Deployment.start({
    declarations: fileURLToPath(DECLARATIONS),
    routers: opts.routers,
    engines: ENGINES.map(([id, version]) => ({ id, zone: 'z1', versions: [version] })),
    services: ['queue'],
    seed: opts.seed,
  })
  try {
    return await observe(deployment, opts)
  } finally {
    await deployment.close()
  }
}

async function observe(
  deployment: Deployment,
  opts: LiveRolloutOptions,
): Promise<LiveRolloutReport> {
  await setQuality(deployment, 'summariser@large', GOOD)
  await setQuality(deployment, NEW_VERSION, GOOD)
  const startMs = performance.now()
  const elapsed = (): number => (performance.now() - startMs) / MS_PER_SECOND
  const seen = { sent: 0, answered: 0, good: 0, bad: 0, after: 0 }
  let turnedBadAt: number | undefined
  let withdrawnAt: number | undefined
  let isDone = false
  const caller = ChatCaller.create()
  const load = openLoop({
    count: opts.ratePerSecond * opts.seconds,
    ratePerSecond: opts.ratePerSecond,
    random: seededRandom(opts.seed),
    send: async (index) => {
      const sentAt = elapsed()
      const router = deployment.routers[index % deployment.routers.length]
      const result = await caller.send({
        address: router?.address ?? '',
        apiKey: 'panel-key',
        className: 'dossier',
        prompt: `dossier ${index}`,
        stream: true,
      })
      seen.sent += 1
      if (result.status === 200 && result.whole) seen.answered += 1
      if (result.versionKey !== NEW_VERSION) return
      if (turnedBadAt === undefined || sentAt < turnedBadAt) seen.good += 1
      else seen.bad += 1
      if (withdrawnAt !== undefined && sentAt > withdrawnAt) seen.after += 1
    },
  })
  const watch = watchRollout()
  await load
  isDone = true
  await watch
  caller.close()
  return {
    sent: seen.sent,
    answered: seen.answered,
    goodExposed: seen.good,
    badExposed: seen.bad,
    turnedBadAt,
    withdrawnAt,
    exposedAfterWithdrawal: seen.after,
    phase: await phaseOf(deployment),
  }

  async function watchRollout(): Promise<void> {
    while (!isDone && withdrawnAt === undefined) {
      await delay(POLL_MS)
      if (turnedBadAt === undefined && seen.good >= ANSWERS_BEFORE_BAD) {
        await setQuality(deployment, NEW_VERSION, BAD)
        turnedBadAt = elapsed()
      }
      if (turnedBadAt !== undefined && (await isWithdrawnEverywhere(deployment))) {
        withdrawnAt = elapsed()
      }
    }
  }
}

async function setQuality(
  deployment: Deployment,
  version: string,
  quality: number,
): Promise<void> {
  const path = `/admin/quality/${encodeURIComponent(version)}`
  await deployment.admin(deployment.ratings, 'PUT', path, quality)
}

async function isWithdrawnEverywhere({ routers }: Deployment): Promise<boolean> {
  const texts = await Promise.all(
    routers.map(async ({ address }) => {
      const res = await fetch(`http://${address}/metrics`)
      return res.text()
    }),
  )
  return texts.every((text) => WITHDRAWN_LINE.test(text))
}

async function phaseOf({ platformUrl }: Deployment): Promise<string> {
  const client = PlatformClient.create({ url: platformUrl })
  const read = await client.get('status', rolloutObject('summariser', 'large2'))
  client.close()
  if (read.err) return 'unavailable'
  const state = rolloutStateSchema.safeParse(read.val?.value)
  return state.success ? `${state.data.phase}: ${state.data.reason}` : 'none'
}
