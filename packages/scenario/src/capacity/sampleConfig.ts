/** Configurations of a given size for benches and trials. */
import {
  EMPTY_CONFIG,
  effectiveConfigSchema,
  type EffectiveConfig,
} from '@wagtailway/core'

/** Versions of each model. */
const VERSIONS = 3

export interface SampleConfigOptions {
  readonly workspaces: number
  readonly models: number
  readonly classesPerWorkspace: number
}

/** Shape of the configuration at the size to design for. */
export const SAMPLE_SIZE: SampleConfigOptions = {
  workspaces: 20,
  models: 3,
  classesPerWorkspace: 4,
}

/**
 * A configuration whose `change` differs in one withdrawal.
 *
 * @example
 * sampleConfig(SAMPLE_SIZE, 7)
 */
export function sampleConfig(size: SampleConfigOptions, change = 0): EffectiveConfig {
  const models = names('model', size.models)
  const workspaces = names('workspace', size.workspaces)
  const owner = 'root'
  return effectiveConfigSchema.parse({
    ...EMPTY_CONFIG,
    models: models.map((name) => ({
      name,
      owner,
      versions: names('v', VERSIONS).map((version) => ({
        name: version,
        promptPrice: 0.5,
        completionPrice: 1.5,
      })),
    })),
    workspaces: workspaces.map((name) => ({
      name,
      owner,
      keyHashes: ['ab'.repeat(32)],
    })),
    classes: workspaces.flatMap((workspace) =>
      names('class', size.classesPerWorkspace).map((name) => ({
        workspace,
        name,
        owner,
        allow: models.map((model) => ({ model })),
        quality: { target: 0.9 },
        latency: { firstTokenMs: 1_000 },
      })),
    ),
    withdrawals: [
      { model: 'model-0', version: 'v-0', reason: `change ${change}`, owner },
    ],
  })
}

function names(prefix: string, count: number): string[] {
  return Array.from({ length: count }, (_, i) => `${prefix}-${i}`)
}
