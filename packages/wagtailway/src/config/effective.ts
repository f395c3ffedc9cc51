/** The configuration in force, as it results from reconciling all declarations. */
import * as z from 'zod'
import {
  classSchema,
  grantSchema,
  modelSchema,
  rolloutSchema,
  serviceSchema,
  withdrawalSchema,
  workspaceSchema,
} from './schema.js'

const owned = { owner: z.string() }

export const effectiveConfigSchema = z.object({
  /** Grants of the root owner, stored so that a root document with errors leaves them in force. */
  grants: z.array(grantSchema).default([]),
  workspaces: z.array(workspaceSchema.extend(owned)),
  models: z.array(modelSchema.extend(owned)),
  services: z.array(serviceSchema.extend(owned)),
  classes: z.array(classSchema.extend(owned)),
  rollouts: z.array(rolloutSchema.extend(owned)),
  withdrawals: z.array(withdrawalSchema.extend(owned)),
})

export type EffectiveConfig = z.infer<typeof effectiveConfigSchema>
export type EffectiveClass = EffectiveConfig['classes'][number]
export type EffectiveWorkspace = EffectiveConfig['workspaces'][number]
export type EffectiveService = EffectiveConfig['services'][number]

/** Configuration with no declarations. */
export const EMPTY_CONFIG: EffectiveConfig = {
  grants: [],
  workspaces: [],
  models: [],
  services: [],
  classes: [],
  rollouts: [],
  withdrawals: [],
}

/** A version that a class may use, with its prices and expected quality. */
export interface Candidate {
  readonly model: string
  readonly version: string
  /** `model@version`, the key of estimates and counters. */
  readonly key: string
  readonly promptPrice: number
  readonly completionPrice: number
  readonly expectedQuality: number
}

/**
 * Key of a class, unique across workspaces.
 *
 * @example
 * classKey('kebele', 'dossier') // 'kebele/dossier'
 */
export function classKey(workspace: string, className: string): string {
  return `${workspace}/${className}`
}

/**
 * Key of a version, unique across models.
 *
 * @example
 * versionKey('summariser', 'v2') // 'summariser@v2'
 */
export function versionKey(model: string, version: string): string {
  return `${model}@${version}`
}
