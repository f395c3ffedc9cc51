/** State of a rollout as stored in the platform. */
import * as z from 'zod'
import { versionKey } from '../config/effective.js'

/**
 * Phases of a rollout. `running` and `promoted` can still become `withdrawn`;
 * `withdrawn` and `undone` never change.
 */
export const rolloutPhaseSchema = z.enum(['running', 'promoted', 'withdrawn', 'undone'])

export const rolloutStateSchema = z.object({
  model: z.string(),
  from: z.string(),
  to: z.string(),
  /** Incremented when a rollout that was undone is declared again. */
  generation: z.number().int(),
  phase: rolloutPhaseSchema,
  /** Index of the stage, from zero. */
  stage: z.number().int().min(0),
  /** Evidence epoch in which the rollout started. */
  firstEpoch: z.number().int(),
  /** First evidence epoch that counts for the stage. */
  stageEpoch: z.number().int(),
  /**
   * Maximum number of responses of the new version before its promotion or withdrawal.
   */
  exposureBudget: z.number(),
  /** Quality below which the new version is withdrawn, by class. */
  floors: z.record(z.string(), z.number()),
  /** Fencing token of the last lease holder that changed the state. */
  fence: z.number().int(),
  /** Reason for the last change. */
  reason: z.string(),
  /** Incarnation that made the last change. */
  by: z.string(),
})

export type RolloutPhase = z.infer<typeof rolloutPhaseSchema>
export type RolloutState = z.infer<typeof rolloutStateSchema>

/** Prefix of the names of the objects that hold rollout states. */
export const ROLLOUT_PREFIX = 'rollout/'

/**
 * Name of the object that holds a rollout's state.
 *
 * @example
 * rolloutObject('summariser', 'v2') // 'rollout/summariser/v2'
 */
export function rolloutObject(model: string, to: string): string {
  return `${ROLLOUT_PREFIX}${model}/${to}`
}

/** Whether the rollout can still change. */
export function isOpen({ phase }: RolloutState): boolean {
  return phase === 'running' || phase === 'promoted'
}

/**
 * Key of the rollout's evidence.
 *
 * @example
 * rolloutKey(state) // 'summariser@v2#1'
 */
export function rolloutKey({ model, to, generation }: RolloutState): string {
  return `${versionKey(model, to)}#${generation}`
}
