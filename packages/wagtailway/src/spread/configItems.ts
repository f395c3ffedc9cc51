/** Splits the configuration into items, so that only changed items are sent. */
import * as z from 'zod'
import {
  effectiveConfigSchema,
  versionKey,
  type EffectiveConfig,
} from '../config/effective.js'
import type { ItemSet } from './itemHistory.js'

const SECTIONS = Object.keys(effectiveConfigSchema.shape) as (keyof EffectiveConfig)[]

const identitySchema = z.object({
  workspace: z.string().optional(),
  model: z.string().optional(),
  version: z.string().optional(),
  name: z.string().optional(),
  owner: z.string().optional(),
})

/** Converts a configuration to items. */
export function toItems(effective: EffectiveConfig): ItemSet {
  const items = new Map<string, string>()
  for (const section of SECTIONS) {
    for (const value of effective[section]) {
      const key = `${section}/${identityOf(value)}`
      items.set(uniqueKey(items, key), JSON.stringify(value))
    }
  }
  return items
}

/** Assembles a configuration from its items. */
export function fromItems(items: ItemSet): EffectiveConfig {
  const sections = Object.fromEntries(SECTIONS.map((name) => [name, [] as unknown[]]))
  for (const [key, json] of items) {
    const [section = ''] = key.split('/', 1)
    sections[section]?.push(JSON.parse(json))
  }
  return effectiveConfigSchema.parse(sections)
}

function identityOf(value: unknown): string {
  const { workspace, model, version, name, owner } = identitySchema.parse(value)
  if (model !== undefined) return versionKey(model, version ?? '')
  return [workspace, name ?? owner].filter((part) => part !== undefined).join('/')
}

function uniqueKey(items: ItemSet, key: string): string {
  let unique = key
  for (let i = 2; items.has(unique); i++) unique = `${key} ${i}`
  return unique
}
