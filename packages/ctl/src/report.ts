/** What a command has to say, as lines and as data. */
import { EXIT, type ExitCode } from './exitCodes.js'

export interface Report {
  readonly code: ExitCode
  readonly lines: readonly string[]
  /** The same for `--json`. */
  readonly data: Readonly<Record<string, unknown>>
}

/**
 * Formats a report.
 *
 * @example
 * process.stdout.write(formatReport(report, false))
 */
export function formatReport(report: Report, asJson: boolean): string {
  const { code, lines, data } = report
  if (asJson) return `${JSON.stringify({ code, ...data }, null, 2)}\n`
  return lines.map((line) => `${line}\n`).join('')
}

/** Report of a platform that doesn't answer or refuses. */
export function unavailableReport(done: string, cause: string): Report {
  return {
    code: EXIT.unavailable,
    lines: [`${done}: ${cause}; run the command again`],
    data: { error: 'unavailable', message: `${done}: ${cause}` },
  }
}
