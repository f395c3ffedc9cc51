/** Schema of scenario files; the TypeScript types are inferred from it. */
import { documentSchema } from '@wagtailway/core'
import {
  engineFaultsSchema,
  platformFaultsSchema,
  ratingsFaultsSchema,
} from '@wagtailway/standins'
import { z } from 'zod'
import { outcomeSchema } from '../check/outcomes.js'
import { durationSchema } from './duration.js'

const flagsSchema = z.record(z.string(), z.union([z.string(), z.number()]))

const engineSchema = z.strictObject({
  id: z.string().min(1),
  zone: z.string().default('z1'),
  /** Served versions as `model@version`. */
  versions: z.array(z.string()).min(1),
  /** Additional flags for `wagtailway-engine`, such as `tokens: 40`. */
  flags: flagsSchema.default({}),
})

const deploymentSchema = z.strictObject({
  /** Folder with the declarations: its name in the playground, or a path. */
  declarations: z.string(),
  /** Number of entry instances; they are named n1, n2 and so on. */
  routers: z.number().int().positive().max(32).default(3),
  /** Additional flags for every router, such as `flush-ms: 5000`. */
  routerFlags: flagsSchema.default({}),
  engines: z.array(engineSchema).default([]),
  /** Names of plain services; each has one instance, named NAME-1. */
  services: z.array(z.string()).default([]),
  /**
   * Delay until a killed or stopped instance is removed from the balancer and from the
   * platform's list.
   */
  noticeAfter: durationSchema.default(1_000),
})

export const trafficSchema = z.strictObject({
  /** `workspace/class`. */
  class: z.string().regex(/^[^/]+\/[^/]+$/, 'write workspace/class'),
  /** API key; defaults to the workspace's key in the playground, `WORKSPACE-key`. */
  key: z.string().optional(),
  /** Mean number of requests (or sessions) started per second. */
  rate: z.number().positive().default(20),
  /** Total number of requests (or sessions). */
  count: z.number().int().positive(),
  /** Delay from the start of the traffic to the first request. */
  from: durationSchema.default(0),
  stream: z.boolean().default(false),
  /** Plain service to call instead of requesting a completion. */
  service: z.string().optional(),
  /**
   * Sends sessions instead of single requests; a session's requests go to different
   * routers, one after another.
   */
  session: z
    .strictObject({
      length: z.number().int().positive(),
      /**
       * Number of requests at the start of the session that are sent concurrently to
       * different routers.
       */
      together: z.number().int().positive().default(1),
      /**
       * Whether the caller sends the session token, once it has received one, with each
       * later request of the session.
       */
      token: z.boolean().default(true),
      /** Pause before each request that follows the concurrent ones. */
      pause: durationSchema.default(0),
    })
    .optional(),
  /** Marks requests as non-idempotent: each may run at most once. */
  nonIdempotent: z.boolean().default(false),
  /**
   * Maximum number of retries by the caller, each at the next router, until it receives a
   * complete response.
   */
  retries: z.number().int().nonnegative().default(0),
  /** Pause of the caller before each retry. */
  retryPause: durationSchema.default(400),
  /** Number of routers to which the caller sends each request concurrently. */
  copies: z.number().int().positive().default(1),
  /** Time after sending a request at which the caller disconnects. */
  leaveAfter: durationSchema.optional(),
  /** Pause of the caller between reads of the response body. */
  readPause: durationSchema.optional(),
  /** Deadline that the caller sends with the request. */
  deadline: durationSchema.optional(),
  /** Routers that receive the requests; all by default. */
  via: z.array(z.string()).optional(),
})

const linkSchema = z
  .string()
  .regex(/^\S+ > \S+$/, 'write a link as "n1 > e1", "callers > n1" or "n1 > platform"')

const withdrawSchema = z
  .string()
  .regex(/^[^@\s]+@[^@\s]+$/, 'write a version as model@version')

const actionShape = {
  /** Kills a process with SIGKILL. */
  kill: z.string().optional(),
  /** Suspends a process with SIGSTOP; it resumes after `for`. */
  freeze: z.string().optional(),
  /** Sends SIGTERM to a process. */
  stop: z.string().optional(),
  /** Starts an additional router. */
  start: z.literal('router').optional(),
  /** Kills a router and starts a new one. */
  replace: z.string().optional(),
  /** Resets open connections, and new ones while the fault lasts. */
  cut: linkSchema.optional(),
  /** Resets open connections; new ones work. */
  reset: linkSchema.optional(),
  /**
   * Drops all bytes; connections that were open during the fault stay silent after it.
   */
  silence: linkSchema.optional(),
  /** Drops all bytes on open connections permanently; new ones work. */
  silenceOpen: linkSchema.optional(),
  /**
   * Drops the bytes sent back by the target; the loss persists on connections that were
   * open during the fault.
   */
  loseAnswers: linkSchema.optional(),
  /** Delays bytes by `by`. */
  slow: linkSchema.optional(),
  by: durationSchema.optional(),
  /** Engine or service on which `faults`, such as failNext, are set. */
  engine: z.string().optional(),
  faults: engineFaultsSchema.partial().strict().optional(),
  platform: platformFaultsSchema.partial().strict().optional(),
  ratings: ratingsFaultsSchema.partial().strict().optional(),
  /** True quality of each version, from which the rating service derives its scores. */
  quality: z.record(z.string(), z.number().min(0).max(1)).optional(),
  /**
   * Marks a backend server as `leaving` on the platform's list; it keeps serving
   * requests.
   */
  leaving: z.string().optional(),
  /** Removes an instance from the platform's list; it keeps serving requests. */
  unlist: z.string().optional(),
  /** Withdraws a model version. */
  withdraw: withdrawSchema.optional(),
  /** Documents that operators apply concurrently, one operator per document. */
  apply: z.array(documentSchema).optional(),
}

const faultSchema = z.strictObject({
  /** Fires this long after the start of the traffic. */
  at: durationSchema.optional(),
  /** Fires once callers have received this many complete responses. */
  afterAnswers: z.number().int().positive().optional(),
  /** Fires once this many runs have started at backend servers. */
  afterStarts: z.number().int().positive().optional(),
  /** Number of operators' changes that the platform has confirmed. */
  afterChanges: z.number().int().positive().optional(),
  /** Duration after which the fault is undone. */
  for: durationSchema.optional(),
  ...actionShape,
})

export const scenarioSchema = z.strictObject({
  name: z.string().min(1),
  /** Whether the scenario runs in CI. */
  ci: z.boolean().default(false),
  deployment: deploymentSchema,
  traffic: z.array(trafficSchema).min(1),
  faults: z.array(faultSchema).default([]),
  /** Longest wait for billing records after the traffic and `linger`. */
  settle: durationSchema.default(8_000),
  /** Time that the deployment keeps running after the traffic and the faults. */
  linger: durationSchema.default(0),
  outcomes: z.array(outcomeSchema).min(1),
})

export type Scenario = z.infer<typeof scenarioSchema>
export type Traffic = Scenario['traffic'][number]
export type Fault = Scenario['faults'][number]

/** Fault actions; each fault has exactly one. */
export const ACTIONS = [
  'kill',
  'freeze',
  'stop',
  'start',
  'replace',
  'cut',
  'reset',
  'silence',
  'silenceOpen',
  'loseAnswers',
  'slow',
  'engine',
  'platform',
  'ratings',
  'quality',
  'leaving',
  'unlist',
  'withdraw',
  'apply',
] as const

export type Action = (typeof ACTIONS)[number]

/** Actions whose value names a link. */
export const LINK_ACTIONS = [
  'cut',
  'reset',
  'silence',
  'silenceOpen',
  'loseAnswers',
  'slow',
] as const

/** Actions that `for` can undo. */
export const UNDOABLE_ACTIONS: readonly Action[] = [
  'freeze',
  'cut',
  'silence',
  'loseAnswers',
  'slow',
  'platform',
  'ratings',
  'leaving',
  'unlist',
]

/** Actions set on a fault; a valid fault has exactly one. */
export function actionsOf(fault: Fault): Action[] {
  return ACTIONS.filter((action) => fault[action] !== undefined)
}
