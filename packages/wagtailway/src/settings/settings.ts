/**
 * Flags and environment variables of a binary, derived from its settings schema,
 * which is the single source for their names, types and descriptions.
 */
import * as z from 'zod'

export type SettingType = 'string' | 'number' | 'boolean' | 'list'

/** A setting as presented to operators. */
export interface Setting {
  /** Property name in the schema, such as `peerPort`. */
  readonly name: string
  /** Flag without leading dashes, such as `peer-port`. */
  readonly flag: string
  /** Environment variable, such as `WAGTAILWAY_PEER_PORT`. */
  readonly variable: string
  readonly type: SettingType
  readonly description: string
  /** Value if none is given; absent if required, or optional without a default. */
  readonly defaultValue?: string | number | boolean
  readonly required: boolean
}

/** A validation error of one setting. */
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
 * Lists the settings of a schema in declaration order.
 *
 * @example
 * settingsOf(z.object({ peerPort: z.number().describe('Port') }), 'WAGTAILWAY')[0]?.variable
 */
export function settingsOf(schema: z.ZodObject, prefix: string): Setting[] {
  const { properties = {}, required = [] } = z.toJSONSchema(schema, { io: 'input' })
  return Object.entries(properties).map(([name, property]) => {
    const { type, description = '', default: defaultValue } = property as JsonProperty
    const flag = flagOf(name)
    return {
      name,
      flag,
      variable: variableOf(flag, prefix),
      type: typeOf(type),
      description,
      ...(defaultValue !== undefined && { defaultValue }),
      required: required.includes(name),
    }
  })
}

/**
 * Formats a finding with the flag and the environment variable to correct.
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

/** Converts the issues of a failed schema validation to findings. */
export function settingFindings(err: z.ZodError): SettingFinding[] {
  return err.issues.map((issue) => ({
    setting: issue.path.map(String).join('.'),
    message: issue.message.endsWith('received undefined') ? 'is required' : issue.message,
  }))
}

/**
 * Converts a setting's name to its flag, without leading dashes.
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
