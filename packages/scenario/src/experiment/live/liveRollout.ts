/** A rollout whose new version turns bad under live traffic, on real processes. */
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
  /** Duration of the load in seconds. */
  readonly seconds: number
  readonly seed: number
}

/** Times are in seconds since the start of the load. */
export interface LiveRolloutReport {
  readonly sent: number
  readonly answered: number
  /** Responses of the new version to requests sent while it was good. */
  readonly goodExposed: number
  /** Responses of the new version to requests sent after it had turned bad. */
  readonly badExposed: number
  readonly turnedBadAt: number | undefined
  /** When the metrics of every entry instance showed the version as withdrawn. */
  readonly withdrawnAt: number | undefined
  /** Responses of the new version to requests sent after `withdrawnAt`. */
  readonly exposedAfterWithdrawal: number
  /** Phase and reason of the rollout as stored in the platform at the end. */
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
const GOOD_QUALITY = 0.92
const BAD_QUALITY = 0.3
const POLL_MS = 100
const MS_PER_SECOND = 1_000

/** Number of responses of the new version after which it turns bad. */
const RESPONSES_BEFORE_BAD = 60

/**
 * Starts a deployment with a rollout in progress, sends requests and turns the new
 * version bad after some of its responses.
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
  await setQuality(deployment, 'summariser@large', GOOD_QUALITY)
  await setQuality(deployment, NEW_VERSION, GOOD_QUALITY)
  const startMs = performance.now()
  const elapsedSeconds = (): number => (performance.now() - startMs) / MS_PER_SECOND
  const counts = { sent: 0, answered: 0, good: 0, bad: 0, after: 0 }
  let turnedBadAt: number | undefined
  let withdrawnAt: number | undefined
  let isLoadDone = false
  const caller = ChatCaller.create()
  const load = openLoop({
    count: opts.ratePerSecond * opts.seconds,
    ratePerSecond: opts.ratePerSecond,
    random: seededRandom(opts.seed),
    send: async (index) => {
      const sentAt = elapsedSeconds()
      const router = deployment.routers[index % deployment.routers.length]
      const result = await caller.send({
        address: router?.address ?? '',
        apiKey: 'panel-key',
        className: 'dossier',
        prompt: `dossier ${index}`,
        stream: true,
      })
      counts.sent += 1
      if (result.status === 200 && result.whole) counts.answered += 1
      if (result.versionKey !== NEW_VERSION) return
      if (turnedBadAt === undefined || sentAt < turnedBadAt) counts.good += 1
      else counts.bad += 1
      if (withdrawnAt !== undefined && sentAt > withdrawnAt) counts.after += 1
    },
  })
  const watch = watchRollout()
  await load
  isLoadDone = true
  await watch
  caller.close()
  return {
    sent: counts.sent,
    answered: counts.answered,
    goodExposed: counts.good,
    badExposed: counts.bad,
    turnedBadAt,
    withdrawnAt,
    exposedAfterWithdrawal: counts.after,
    phase: await readPhase(deployment),
  }

  async function watchRollout(): Promise<void> {
    while (!isLoadDone && withdrawnAt === undefined) {
      await delay(POLL_MS)
      if (turnedBadAt === undefined && counts.good >= RESPONSES_BEFORE_BAD) {
        await setQuality(deployment, NEW_VERSION, BAD_QUALITY)
        turnedBadAt = elapsedSeconds()
      }
      if (turnedBadAt !== undefined && (await isWithdrawnEverywhere(deployment))) {
        withdrawnAt = elapsedSeconds()
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

async function readPhase({ platformUrl }: Deployment): Promise<string> {
  const client = PlatformClient.create({ url: platformUrl })
  const response = await client.get('status', rolloutObject('summariser', 'large2'))
  client.close()
  if (response.err) return 'unavailable'
  const state = rolloutStateSchema.safeParse(response.val?.value)
  return state.success ? `${state.data.phase}: ${state.data.reason}` : 'none'
}
