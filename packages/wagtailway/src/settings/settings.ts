/**
 * Flags and environment variables of a binary, read from its schema of settings,
 * which is the only place where they are declared and described.
 */
import { z } from 'zod'

export type SettingType = 'string' | 'number' | 'boolean' | 'list'

/** One setting as operators see it. */
export interface Setting {
  /** Name in the code, such as `peerPort`. */
  readonly name: string
  /** Flag without its dashes, such as `peer-port`. */
  readonly flag: string
  /** Environment variable, such as `WAGTAILWAY_PEER_PORT`. */
  readonly variable: string
  readonly type: SettingType
  readonly description: string
  /** Value if none is given; absent if the setting is required or off by default. */
  readonly defaultValue?: string | number | boolean
  readonly required: boolean
}

/** One bad setting. */
export interface SettingFinding {
  /** Name of the setting, as in the schema. */
  readonly setting: string
  readonly message: string
}

interface JsonProperty {
  readonly type?: string
  readonly description?: string
  readonly default?: string | number | boolean
}

/**
 * Lists the settings of a schema in the order of their declaration.
 *
 * @example
 * settingsOf(z.object({ peerPort: z.number().describe('Port') }), 'WAGTAILWAY')[0]?.variable
 */
export function settingsOf(schema: z.ZodObject, prefix: string): Setting[] {
  const { properties = {}, required = [] } = z.toJSONSchema(schema, { io: 'input' })
  return Object.entries(properties).map(([name, property]) => {
    const { type, description = '', default: given } = property as JsonProperty
    const flag = flagOf(name)
    return {
      name,
      flag,
      variable: variableOf(flag, prefix),
      type: typeOf(type),
      description,
      ...(given !== undefined && { defaultValue: given }),
      required: required.includes(name),
    }
  })
}

/**
 * Formats a finding with the flag and the variable to mend.
 *
 * @example
 * formatSettingFinding({ setting: 'port', message: 'too big' }, 'WAGTAILWAY')
 */
export function formatSettingFinding(
  { setting, message }: SettingFinding,
  prefix: string,
): string {
  const flag = flagOf(setting.split('.')[0] ?? setting)
  return `--${flag} (${variableOf(flag, prefix)}): ${message}\n`
}

/** Findings of a failed check. */
export function settingFindings(err: z.ZodError): SettingFinding[] {
  return err.issues.map((issue) => ({
    setting: issue.path.map(String).join('.'),
    message: issue.message.endsWith('received undefined') ? 'is required' : issue.message,
  }))
}

/**
 * Flag of a setting, without its dashes.
 *
 * @example
 * flagOf('peerPort') // 'peer-port'
 */
export function flagOf(name: string): string {
  return name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`)
}

function variableOf(flag: string, prefix: string): string {
  return `${prefix}_${flag.replace(/-/g, '_').toUpperCase()}`
}

function typeOf(type: string | undefined): SettingType {
  if (type === 'integer' || type === 'number') return 'number'
  if (type === 'array') return 'list'
  return type === 'boolean' ? 'boolean' : 'string'
}
