/** Settings of the router. */
import { Err, Ok, type Result } from '@wagtailway/core'
import { z } from 'zod'

const port = z.number().int().min(0).max(65_535)
const positiveMs = z.number().int().positive()
const baseUrl = z.url({
  protocol: /^http$/,
  error: 'give a URL such as http://10.0.0.5:7000',
})

const optionsSchema = z.object({
  /** Name of this entry instance, unique in the deployment. */
  node: z.string().min(1),
  /** Availability zone of this instance. */
  zone: z.string().min(1),
  /**
   * Region of this instance.
   * @default 'r1'
   */
  region: z.string().min(1).default('r1'),
  /**
   * IP number to listen on.
   * @default '127.0.0.1'
   */
  host: z.string().min(1).default('127.0.0.1'),
  /**
   * Port for callers; 0 picks one.
   * @default 0
   */
  port: port.default(0),
  /**
   * Port for other entry instances; 0 picks one.
   * @default 0
   */
  peerPort: port.default(0),
  /** Base URL of the platform's API. */
  platform: baseUrl,
  /** Base URL of the service that rates answers; ratings are off if absent. */
  ratings: baseUrl.optional(),
  /** Keys that sign session tokens, newest first, the same on all instances. */
  sessionKeys: z.array(z.string().min(8, 'use at least 8 characters')).min(1),
  /**
   * Age of the newest proof beyond which the configuration is stale, in milliseconds.
   * @default 10_000
   */
  configFreshMs: positiveMs.default(10_000),
  /**
   * Pause between polls of the platform's list of instances, in milliseconds.
   * @default 1_000
   */
  instancePollMs: positiveMs.default(1_000),
  /**
   * Pause between exchanges with other instances, in milliseconds.
   * @default 500
   */
  heartbeatMs: positiveMs.default(500),
  /**
   * Peer addresses of other instances, as `host:port`, from which an instance
   * that starts while the platform is away learns the rest.
   * @default []
   */
  seeds: z.array(z.string().regex(/^[^:]+:\d+$/, 'give host:port')).default([]),
  /**
   * Pause between flushes of billing records, in milliseconds.
   * @default 1_000
   */
  flushMs: positiveMs.default(1_000),
  /**
   * Requests in progress beyond which more are refused.
   * @default 2_000
   */
  maxInProgress: z.number().int().positive().default(2_000),
  /**
   * Largest request body, in bytes.
   * @default 1_048_576
   */
  maxBodyBytes: z.number().int().positive().default(1_048_576),
  /**
   * Longest time for a caller to send its request, in milliseconds.
   * @default 10_000
   */
  requestTimeoutMs: positiveMs.default(10_000),
  /**
   * Deadline of a request that names none, in milliseconds.
   * @default 60_000
   */
  defaultDeadlineMs: positiveMs.default(60_000),
  /**
   * Silence of a backend server after which its answer counts as lost, in milliseconds.
   * @default 10_000
   */
  progressTimeoutMs: positiveMs.default(10_000),
  /**
   * Time that a leaving instance goes on accepting, in milliseconds, until the
   * balancer has noticed.
   * @default 3_000
   */
  drainGraceMs: z.number().int().nonnegative().default(3_000),
  /**
   * Fraction of answers that are sent to be rated.
   * @default 0.2
   */
  ratingSample: z.number().min(0).max(1).default(0.2),
  /**
   * Seed of the random numbers.
   * @default 1
   */
  seed: z.number().int().default(1),
})

export type RouterOptions = z.input<typeof optionsSchema>
export type ResolvedRouterOptions = z.output<typeof optionsSchema>

/** One bad setting. */
export interface SettingFinding {
  /** Name of the option, as in {@link RouterOptions}. */
  readonly setting: string
  readonly message: string
}

/** Names of all settings, in the order of their declaration. */
export const SETTING_NAMES = Object.keys(optionsSchema.shape)

/**
 * Checks the settings and fills in defaults; every bad setting is reported.
 *
 * @example
 * const resolved = resolveConfig({ node: 'n1', zone: 'z1', platform, sessionKeys })
 */
export function resolveConfig(
  opts: unknown,
): Result<ResolvedRouterOptions, SettingFinding[]> {
  const parsed = optionsSchema.safeParse(opts)
  if (parsed.success) return Ok(parsed.data)
  return Err(
    parsed.error.issues.map((issue) => ({
      setting: issue.path.map(String).join('.'),
      message: issue.message,
    })),
  )
}
