/** State of a roll-out as it stands in the platform. */
import { z } from 'zod'
import { versionKey } from '../config/effective.js'

/**
 * Phases of a roll-out. `running` and `promoted` can still become `withdrawn`;
 * `withdrawn` and `undone` never change.
 */
export const rolloutPhaseSchema = z.enum(['running', 'promoted', 'withdrawn', 'undone'])

export const rolloutStateSchema = z.object({
  model: z.string(),
  from: z.string(),
  to: z.string(),
  /** Grows when a roll-out that was undone is declared again. */
  generation: z.number().int(),
  phase: rolloutPhaseSchema,
  /** Number of the stage, from zero. */
  stage: z.number().int().min(0),
  /** Evidence epoch in which the roll-out began. */
  firstEpoch: z.number().int(),
  /** Evidence epoch in which the stage began. */
  stageEpoch: z.number().int(),
  /** Answers of the new version allowed before there is a verdict. */
  exposureBudget: z.number(),
  /** Quality below which the new version is withdrawn, by class. */
  floors: z.record(z.string(), z.number()),
  /** Fencing number of the last holder that changed the state. */
  fence: z.number().int(),
  /** Why the last change was made. */
  reason: z.string(),
  /** Incarnation that made the last change. */
  by: z.string(),
})

export type RolloutPhase = z.infer<typeof rolloutPhaseSchema>
export type RolloutState = z.infer<typeof rolloutStateSchema>

/** Prefix of the names of the objects that hold roll-out states. */
export const ROLLOUT_PREFIX = 'rollout/'

/**
 * Name of the object of a roll-out.
 *
 * @example
 * rolloutObject('summariser', 'v2') // 'rollout/summariser/v2'
 */
export function rolloutObject(model: string, to: string): string {
  return `${ROLLOUT_PREFIX}${model}/${to}`
}

/** Whether the roll-out can still change. */
export function isOpen({ phase }: RolloutState): boolean {
  return phase === 'running' || phase === 'promoted'
}

/**
 * Key of the roll-out's evidence.
 *
 * @example
 * rolloutKey(state) // 'summariser@v2#1'
 */
export function rolloutKey({ model, to, generation }: RolloutState): string {
  return `${versionKey(model, to)}#${generation}`
}
