/** Settings of the router, from which flags, variables, help and reference page are generated. */
import {
  Err,
  Ok,
  settingFindings,
  settingsOf,
  type Result,
  type SettingFinding,
} from '@wagtailway/core'
import { z } from 'zod'

/** Prefix of the environment variables. */
export const SETTINGS_PREFIX = 'WAGTAILWAY'

const text = z.string().min(1)
const count = z.number().int().positive()
const port = z.number().int().min(0).max(65_535)
const positiveMs = z.number().int().positive()
const baseUrl = z.url({
  protocol: /^http$/,
  error: 'give a URL such as http://10.0.0.5:7000',
})

export const optionsSchema = z.object({
  node: text.describe('Name of this entry instance, unique in the deployment'),
  zone: text.describe('Availability zone of this instance'),
  region: text.default('r1').describe('Region of this instance'),
  host: text.default('127.0.0.1').describe('IP address to listen on'),
  port: port.default(0).describe('Port for callers; 0 selects a free port'),
  peerPort: port
    .default(0)
    .describe('Port for other entry instances and operators; 0 selects a free port'),
  platform: baseUrl.describe("Base URL of the platform's API"),
  ratings: baseUrl
    .optional()
    .describe(
      'Base URL of the service that rates completions; ratings are off if absent',
    ),
  sessionKeys: z
    .array(z.string().min(8, 'use at least 8 characters'))
    .min(1)
    .describe(
      'Comma-separated keys that sign session tokens, newest first; the same on all instances',
    ),
  configFreshMs: positiveMs
    .default(10_000)
    .describe(
      'Time since the last confirmation after which the configuration is stale, in milliseconds',
    ),
  instancePollMs: positiveMs
    .default(1_000)
    .describe("Pause between polls of the platform's list of instances, in milliseconds"),
  heartbeatMs: positiveMs
    .default(500)
    .describe('Pause between exchanges with other instances, in milliseconds'),
  seeds: z
    .array(z.string().regex(/^[^:]+:\d+$/, 'give host:port'))
    .default([])
    .describe(
      'Comma-separated peer addresses by which an instance that starts while the platform is unavailable discovers the others',
    ),
  flushMs: positiveMs
    .default(1_000)
    .describe('Pause between flushes of billing records, in milliseconds'),
  maxInProgress: count
    .default(2_000)
    .describe('Requests in progress beyond which new ones are refused'),
  maxBodyBytes: count.default(1_048_576).describe('Largest request body, in bytes'),
  requestTimeoutMs: positiveMs
    .default(10_000)
    .describe('Longest time that a caller may take to send its request, in milliseconds'),
  defaultDeadlineMs: positiveMs
    .default(60_000)
    .describe('Deadline of a request that sets none, in milliseconds'),
  progressTimeoutMs: positiveMs
    .default(10_000)
    .describe(
      'Inactivity of a backend server after which the attempt fails, in milliseconds',
    ),
  drainGraceMs: z
    .number()
    .int()
    .nonnegative()
    .default(3_000)
    .describe(
      'Time that an instance continues to accept requests during shutdown, until the load balancer has noticed, in milliseconds',
    ),
  decisionsKept: count
    .default(5_000)
    .describe('Number of latest requests that wagtailwayctl explain can show'),
  ratingSample: z
    .number()
    .min(0)
    .max(1)
    .default(0.2)
    .describe('Fraction of completions that are sent for rating'),
  targetScale: z
    .number()
    .positive()
    .default(1)
    .describe(
      'Factor applied to every target for the time to first token; above 1 on machines too slow for the targets, as in tests',
    ),
  seed: z.number().int().default(1).describe('Seed of the random number generator'),
})

export type RouterOptions = z.input<typeof optionsSchema>
export type ResolvedRouterOptions = z.output<typeof optionsSchema>

/** All settings in declaration order. */
export const ROUTER_SETTINGS = settingsOf(optionsSchema, SETTINGS_PREFIX)

/**
 * Checks the settings and fills in defaults; every invalid setting is reported.
 *
 * @example
 * const resolved = resolveConfig({ node: 'n1', zone: 'z1', platform, sessionKeys })
 */
export function resolveConfig(
  opts: unknown,
): Result<ResolvedRouterOptions, SettingFinding[]> {
  const parsed = optionsSchema.safeParse(opts)
  return parsed.success ? Ok(parsed.data) : Err(settingFindings(parsed.error))
}
