/** Schema of a scenario file, from which its types are inferred. */
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
  /** More flags of `wagtailway-engine`, such as `tokens: 40`. */
  flags: flagsSchema.default({}),
})

const deploymentSchema = z.strictObject({
  /** Folder of the playground with the declarations. */
  declarations: z.string(),
  /** Entry instances, named n1, n2 and so on. */
  routers: z.number().int().positive().max(32).default(3),
  /** More flags of every router, such as `flush-ms: 5000`. */
  routerFlags: flagsSchema.default({}),
  engines: z.array(engineSchema).default([]),
  /** Names of plain services; each has one instance, named NAME-1. */
  services: z.array(z.string()).default([]),
  /** Time after which the balancer and the platform's list notice that an instance is gone. */
  noticeAfter: durationSchema.default(1_000),
})

export const trafficSchema = z.strictObject({
  /** `workspace/class`. */
  class: z.string().regex(/^[^/]+\/[^/]+$/, 'write workspace/class'),
  /** API key; that of the playground by default. */
  key: z.string().optional(),
  /** Mean requests (or sessions) started a second. */
  rate: z.number().positive().default(20),
  /** Requests (or sessions) in all. */
  count: z.number().int().positive(),
  /** When the first is sent. */
  from: durationSchema.default(0),
  stream: z.boolean().default(false),
  /** Plain service to call in place of a completion. */
  service: z.string().optional(),
  /** Requests of one session, one after another at different routers. */
  session: z
    .strictObject({
      length: z.number().int().positive(),
      /** First requests sent at once to different routers. */
      together: z.number().int().positive().default(1),
      /** Whether the caller carries the session's token. */
      token: z.boolean().default(true),
      /** Pause between its requests. */
      pause: durationSchema.default(0),
    })
    .optional(),
  /** Marks requests as to run at most once. */
  nonIdempotent: z.boolean().default(false),
  /** The caller sends each request again, at another router, unless it has a whole answer. */
  retries: z.number().int().nonnegative().default(0),
  /** Pause of the caller before it sends a request again. */
  retryPause: durationSchema.default(400),
  /** The caller sends each request at so many routers at once. */
  copies: z.number().int().positive().default(1),
  /** The caller goes away so long after it sent the request. */
  leaveAfter: durationSchema.optional(),
  /** The caller waits so long between reads. */
  readPause: durationSchema.optional(),
  /** Deadline that the caller names. */
  deadline: durationSchema.optional(),
  /** Routers that get the requests; all by default. */
  via: z.array(z.string()).optional(),
})

const linkSchema = z
  .string()
  .regex(/^\S+ > \S+$/, 'write a link as "n1 > e1", "callers > n1" or "n1 > platform"')

const withdrawSchema = z
  .string()
  .regex(/^[^@\s]+@[^@\s]+$/, 'write a version as model@version')

const actionShape = {
  /** Ends processes at once. */
  kill: z.string().optional(),
  /** Stops a process without its noticing; `for` wakes it. */
  freeze: z.string().optional(),
  /** Sends SIGTERM. */
  stop: z.string().optional(),
  /** Starts one more router. */
  start: z.literal('router').optional(),
  /** Kills a router and starts another one. */
  replace: z.string().optional(),
  /** Resets connections; new ones too while it lasts. */
  cut: linkSchema.optional(),
  /** Resets the present connections only. */
  reset: linkSchema.optional(),
  /** Loses all bytes; what was open stays silent for good. */
  silence: linkSchema.optional(),
  /** Makes present connections silent for good while new ones work. */
  silenceOpen: linkSchema.optional(),
  /** Loses what comes back. */
  loseAnswers: linkSchema.optional(),
  /** Delays bytes by `by`. */
  slow: linkSchema.optional(),
  by: durationSchema.optional(),
  /** Faults of an engine or service, such as failNext. */
  engine: z.string().optional(),
  faults: engineFaultsSchema.partial().strict().optional(),
  platform: platformFaultsSchema.partial().strict().optional(),
  ratings: ratingsFaultsSchema.partial().strict().optional(),
  /** True qualities of versions, as the rating service sees them. */
  quality: z.record(z.string(), z.number().min(0).max(1)).optional(),
  /** Lists a backend server as leaving while it still answers. */
  leaving: z.string().optional(),
  /** Takes an instance off the list while it still answers. */
  unlist: z.string().optional(),
  /** Withdraws a version. */
  withdraw: withdrawSchema.optional(),
  /** Operators who apply their documents at the same moment. */
  apply: z.array(documentSchema).optional(),
}

const faultSchema = z.strictObject({
  /** Time since the start of the traffic. */
  at: durationSchema.optional(),
  /** Fires once so many requests were answered whole. */
  afterAnswers: z.number().int().positive().optional(),
  /** Fires once so many requests have started at backend servers. */
  afterStarts: z.number().int().positive().optional(),
  /** Undoes the fault after this time. */
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
  /** Longest wait for billing after the last answer. */
  settle: durationSchema.default(8_000),
  /** Time that the deployment runs on after the traffic. */
  linger: durationSchema.default(0),
  outcomes: z.array(outcomeSchema).min(1),
})

export type Scenario = z.infer<typeof scenarioSchema>
export type Traffic = Scenario['traffic'][number]
export type Fault = Scenario['faults'][number]

/** What a fault does; exactly one in each fault. */
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

/** Actions that name a link. */
export const LINK_ACTIONS = [
  'cut',
  'reset',
  'silence',
  'silenceOpen',
  'loseAnswers',
  'slow',
] as const

/** Actions that `for` can undo. */
export const UNDOABLE: readonly Action[] = [
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

/** Actions of a fault; a valid one has exactly one. */
export function actionsOf(fault: Fault): Action[] {
  return ACTIONS.filter((action) => fault[action] !== undefined)
}
