/** Outcomes that a scenario file can state. */
import { z } from 'zod'
import { durationSchema } from '../scenario/duration.js'
import {
  answeredShare,
  drainCutsNothing,
  endsOnly,
  endsSeen,
  endsWithin,
  exitsWithin,
  refusalsTyped,
  wholeAnswers,
} from './responses.js'
import { billedExactlyOnce } from './billingChecks.js'
import {
  acceptedChangesStand,
  configInForceWithin,
  configNeverReverts,
} from './configs.js'
import type { CheckResult, Evidence } from './evidence.js'
import {
  leavingServerGetsNothing,
  nonIdempotentAtMostOnce,
  notRunIsTrue,
} from './runs.js'
import {
  allowedVersionsOnly,
  sessionOnOneVersion,
  withdrawnStartsNothing,
} from './versions.js'

/** An outcome with its arguments filled in. */
export interface Outcome {
  /** As the file states it. */
  readonly text: string
  readonly check: (evidence: Evidence) => CheckResult
}

/** Seconds in which a configuration must be in force everywhere. */
const IN_FORCE_MS = 13_000

const noArgs = z.strictObject({})
const after = z.strictObject({ after: durationSchema.default(IN_FORCE_MS) })
const within = z.strictObject({ within: durationSchema })
const share = z.strictObject({ atLeast: z.number().min(0).max(1) })
const unbilled = z.strictObject({ unbilledAtMost: z.number().int().min(0).default(0) })
const names = z.strictObject({ names: z.array(z.string()).min(1) })
const seen = z.strictObject({ name: z.string(), atLeast: z.number().int().default(1) })

type Bind = (args: unknown) => z.ZodSafeParseResult<Outcome['check']>

function outcome<S extends z.ZodType>(
  schema: S,
  check: (evidence: Evidence, args: z.output<S>) => CheckResult,
): Bind {
  const bound = schema.transform(
    (args) =>
      (evidence: Evidence): CheckResult =>
        check(evidence, args),
  )
  return (args) => bound.safeParse(args)
}

const OUTCOMES: Readonly<Record<string, Bind>> = {
  'allowed-versions-only': outcome(after, (e, a) => allowedVersionsOnly(e, a.after)),
  'withdrawn-starts-nothing': outcome(after, (e, a) =>
    withdrawnStartsNothing(e, a.after),
  ),
  'session-on-one-version': outcome(noArgs, sessionOnOneVersion),
  'billed-exactly-once': outcome(unbilled, (e, a) =>
    billedExactlyOnce(e, a.unbilledAtMost),
  ),
  'whole-answers': outcome(noArgs, wholeAnswers),
  'not-run-is-true': outcome(noArgs, notRunIsTrue),
  'non-idempotent-at-most-once': outcome(noArgs, nonIdempotentAtMostOnce),
  'leaving-server-gets-nothing': outcome(after, (e, a) =>
    leavingServerGetsNothing(e, a.after),
  ),
  'drain-cuts-nothing': outcome(noArgs, drainCutsNothing),
  'config-in-force-everywhere': outcome(within, (e, a) =>
    configInForceWithin(e, a.within),
  ),
  'config-never-reverts': outcome(noArgs, configNeverReverts),
  'accepted-changes-stand': outcome(noArgs, acceptedChangesStand),
  'answered-share': outcome(share, (e, a) => answeredShare(e, a.atLeast)),
  'ends-only': outcome(names, (e, a) => endsOnly(e, a.names)),
  'ends-seen': outcome(seen, (e, a) => endsSeen(e, a.name, a.atLeast)),
  'ends-within': outcome(within, (e, a) => endsWithin(e, a.within)),
  'exits-within': outcome(within, (e, a) => exitsWithin(e, a.within)),
  'refusals-typed': outcome(noArgs, refusalsTyped),
}

/** Names of all outcomes. */
export const OUTCOME_NAMES = Object.keys(OUTCOMES)

/** A name, or a name with arguments such as `ends-within: { within: 5s }`. */
export const outcomeSchema = z
  .union([z.string(), z.record(z.string(), z.unknown())])
  .transform((stated, ctx): Outcome => {
    const entries =
      typeof stated === 'string' ? [[stated, {}] as const] : Object.entries(stated)
    const [name, args] = entries[0] ?? ['', {}]
    const bind = OUTCOMES[name]
    if (entries.length !== 1 || !bind) {
      const message = `state one of ${OUTCOME_NAMES.join(', ')}`
      ctx.addIssue({ code: 'custom', message })
      return z.NEVER
    }
    const bound = bind(args)
    if (!bound.success) {
      for (const { path, message } of bound.error.issues) {
        ctx.addIssue({ code: 'custom', path: [name, ...path], message })
      }
      return z.NEVER
    }
    const text = typeof stated === 'string' ? stated : `${name} ${JSON.stringify(args)}`
    return { text, check: bound.data }
  })
