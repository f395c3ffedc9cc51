/**
 * Schema of the declarations that teams write; the types are inferred from it.
 *
 * A document belongs to one owner and holds any number of declarations.
 * Declarations state targets and allowances, never weights or addresses.
 */
import * as z from 'zod'

const name = z
  .string()
  .regex(/^[a-z0-9][a-z0-9.-]{0,62}$/, 'use 1 to 63 of a-z, 0-9, "." and "-"')

const fraction = z.number().min(0).max(1)

/** Price of 1,000 tokens, in currency units. */
const price = z.number().nonnegative()

export const versionSchema = z.strictObject({
  name,
  /** Price of 1,000 prompt tokens. */
  promptPrice: price,
  /** Price of 1,000 generated tokens. */
  completionPrice: price,
  /**
   * Quality that the owner expects, used until ratings arrive.
   * @default 0.5
   */
  expectedQuality: fraction.default(0.5),
})

export const modelSchema = z.strictObject({
  name,
  versions: z.array(versionSchema).min(1),
  /** Workspaces whose classes may use this model; all workspaces if absent. */
  offeredTo: z.array(name).optional(),
})

export const serviceSchema = z.strictObject({
  name,
  /**
   * Whether a call may be retried after its first byte was sent to a backend server.
   * @default false
   */
  idempotent: z.boolean().default(false),
  offeredTo: z.array(name).optional(),
})

export const workspaceSchema = z.strictObject({
  name,
  /** SHA-256 hashes, in hex, of the API keys that identify callers of this workspace. */
  keyHashes: z.array(z.string().regex(/^[0-9a-f]{64}$/, 'give a SHA-256 hash in hex')),
  /**
   * Weight when capacity is shared with other workspaces.
   * @default 1
   */
  share: z.number().positive().default(1),
})

export const allowanceSchema = z.strictObject({
  model: name,
  /** Allowed versions; all versions of the model if absent. */
  versions: z.array(name).optional(),
})

export const classSchema = z.strictObject({
  workspace: name,
  name,
  allow: z.array(allowanceSchema).default([]),
  /** Services other than models that this class may call. */
  services: z.array(name).default([]),
  quality: z.strictObject({ target: fraction }),
  latency: z.strictObject({
    /** Target for the 95th percentile of the time to first token, in milliseconds. */
    firstTokenMs: z.number().positive(),
    /** Target for the 95th percentile of the inter-token latency, in milliseconds. */
    betweenTokensMs: z.number().positive().default(43),
  }),
  /**
   * Priority under overload: 9 is served first, 0 last.
   * @default 5
   */
  priority: z.number().int().min(0).max(9).default(5),
  /**
   * Whether all requests of a session use the same version.
   * @default false
   */
  sessions: z.boolean().default(false),
})

export const rolloutSchema = z.strictObject({
  model: name,
  from: name,
  to: name,
  /** Number of callers that the new version may serve before there is a verdict on it. */
  exposureBudget: z.number().int().positive(),
})

export const withdrawalSchema = z.strictObject({
  model: name,
  version: name,
  reason: z.string().min(1),
})

/** Names that an owner may declare; grants are valid only in the root owner's document. */
export const grantSchema = z.strictObject({
  owner: name,
  workspaces: z.array(name).default([]),
  models: z.array(name).default([]),
  services: z.array(name).default([]),
})

export const documentSchema = z.strictObject({
  owner: name,
  grants: z.array(grantSchema).default([]),
  models: z.array(modelSchema).default([]),
  services: z.array(serviceSchema).default([]),
  workspaces: z.array(workspaceSchema).default([]),
  classes: z.array(classSchema).default([]),
  rollouts: z.array(rolloutSchema).default([]),
  withdrawals: z.array(withdrawalSchema).default([]),
})

export type VersionDeclaration = z.infer<typeof versionSchema>
export type ModelDeclaration = z.infer<typeof modelSchema>
export type ServiceDeclaration = z.infer<typeof serviceSchema>
export type WorkspaceDeclaration = z.infer<typeof workspaceSchema>
export type Allowance = z.infer<typeof allowanceSchema>
export type ClassDeclaration = z.infer<typeof classSchema>
export type RolloutDeclaration = z.infer<typeof rolloutSchema>
export type WithdrawalDeclaration = z.infer<typeof withdrawalSchema>
export type GrantDeclaration = z.infer<typeof grantSchema>
export type DeclarationDocument = z.infer<typeof documentSchema>
