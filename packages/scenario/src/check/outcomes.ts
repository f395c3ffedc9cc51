/** The outcomes that a scenario file can state, each with its check. */
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

/** An outcome with its arguments. */
export interface Outcome {
  /** The outcome as stated in the scenario file. */
  readonly text: string
  readonly check: (evidence: Evidence) => CheckResult
}

/**
 * Time within which a configuration must be in force at every router, in milliseconds;
 * the default of `after`.
 */
const CONFIG_PROPAGATION_MS = 13_000

const noArgs = z.strictObject({})
const afterArgs = z.strictObject({ after: durationSchema.default(CONFIG_PROPAGATION_MS) })
const withinArgs = z.strictObject({ within: durationSchema })
const shareArgs = z.strictObject({ atLeast: z.number().min(0).max(1) })
const unbilledArgs = z.strictObject({
  unbilledAtMost: z.number().int().min(0).default(0),
})
const namesArgs = z.strictObject({ names: z.array(z.string()).min(1) })
const seenArgs = z.strictObject({
  name: z.string(),
  atLeast: z.number().int().default(1),
})

type BindArgs = (args: unknown) => z.ZodSafeParseResult<Outcome['check']>

function defineOutcome<S extends z.ZodType>(
  schema: S,
  check: (evidence: Evidence, args: z.output<S>) => CheckResult,
): BindArgs {
  const bound = schema.transform(
    (args) =>
      (evidence: Evidence): CheckResult =>
        check(evidence, args),
  )
  return (args) => bound.safeParse(args)
}

const OUTCOMES: Readonly<Record<string, BindArgs>> = {
  'allowed-versions-only': defineOutcome(afterArgs, (e, a) =>
    allowedVersionsOnly(e, a.after),
  ),
  'withdrawn-starts-nothing': defineOutcome(afterArgs, (e, a) =>
    withdrawnStartsNothing(e, a.after),
  ),
  'session-on-one-version': defineOutcome(noArgs, sessionOnOneVersion),
  'billed-exactly-once': defineOutcome(unbilledArgs, (e, a) =>
    billedExactlyOnce(e, a.unbilledAtMost),
  ),
  'whole-answers': defineOutcome(noArgs, wholeAnswers),
  'not-run-is-true': defineOutcome(noArgs, notRunIsTrue),
  'non-idempotent-at-most-once': defineOutcome(noArgs, nonIdempotentAtMostOnce),
  'leaving-server-gets-nothing': defineOutcome(afterArgs, (e, a) =>
    leavingServerGetsNothing(e, a.after),
  ),
  'drain-cuts-nothing': defineOutcome(noArgs, drainCutsNothing),
  'config-in-force-everywhere': defineOutcome(withinArgs, (e, a) =>
    configInForceWithin(e, a.within),
  ),
  'config-never-reverts': defineOutcome(noArgs, configNeverReverts),
  'accepted-changes-stand': defineOutcome(noArgs, acceptedChangesStand),
  'answered-share': defineOutcome(shareArgs, (e, a) => answeredShare(e, a.atLeast)),
  'ends-only': defineOutcome(namesArgs, (e, a) => endsOnly(e, a.names)),
  'ends-seen': defineOutcome(seenArgs, (e, a) => endsSeen(e, a.name, a.atLeast)),
  'ends-within': defineOutcome(withinArgs, (e, a) => endsWithin(e, a.within)),
  'exits-within': defineOutcome(withinArgs, (e, a) => exitsWithin(e, a.within)),
  'refusals-typed': defineOutcome(noArgs, refusalsTyped),
}

/** Names of all outcomes. */
export const OUTCOME_NAMES = Object.keys(OUTCOMES)

/** A name, or a name with arguments, such as `ends-within: { within: 5s }`. */
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
