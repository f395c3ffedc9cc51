/** The settings file that the users' platform provides for each gateway process. */

export interface SettingsFileOptions {
  readonly name: string
  readonly host: string
  readonly seeds: readonly string[]
  readonly ports: {
    readonly callers: number
    readonly readiness: number
    readonly control: number
    readonly peers: number
  }
  /** `host:port` of the store. */
  readonly store: string
  readonly graceS: number
  readonly sessionS: number
  /** Memory above which the process is killed, if the file tells it. */
  readonly memoryMb?: number | undefined
  /** Bound on requests to cold servers, if the file has one. */
  readonly cold?: { readonly over: number; readonly slack: number } | undefined
  /** Limit of the process's open descriptors, if the file tells it. */
  readonly fileLimit?: number | undefined
}

/**
 * Returns the text of a settings file.
 *
 * @example
 * await writeFile('local.toml', settingsFile(options))
 */
export function settingsFile(opts: SettingsFileOptions): string {
  const { name, host, ports, seeds, store, graceS, sessionS } = opts
  const { memoryMb, cold, fileLimit } = opts
  const seedList = seeds.map((seed) => `"${seed}:${ports.control}"`).join(', ')
  return [
    `nodeName = "${name}"`,
    `ipAddress = "${host}"`,
    'zone = "z1"',
    `internalPortRange = [${ports.peers}, ${ports.peers}]`,
    `seeds = [${seedList}]`,
    '[listenAddresses]',
    `front = "${host}:${ports.callers}"`,
    `ready = "${host}:${ports.readiness}"`,
    `control = "${host}:${ports.control}"`,
    '[platform]',
    `address = "${store}"`,
    '[bounds]',
    `graceS = ${graceS}`,
    `sessionS = ${sessionS}`,
    ...(cold ? [`coldOver = ${cold.over}`, `coldSlack = ${cold.slack}`] : []),
    '[limits]',
    ...(memoryMb === undefined ? [] : [`memoryMb = ${memoryMb}`]),
    ...(fileLimit === undefined ? [] : [`fileDescriptors = ${fileLimit}`]),
  ].join('\n')
}
