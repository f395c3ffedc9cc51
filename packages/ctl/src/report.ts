/** The result of a command, as lines of text and as data. */
import { EXIT, type ExitCode } from './exitCodes.js'

export interface Report {
  readonly code: ExitCode
  readonly lines: readonly string[]
  /** The same content as data, for `--json`. */
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

/** Creates the report for a platform that doesn't respond or rejects a call. */
export function unavailableReport(outcome: string, cause: string): Report {
  return {
    code: EXIT.unavailable,
    lines: [`${outcome}: ${cause}; run the command again`],
    data: { error: 'unavailable', message: `${outcome}: ${cause}` },
  }
}
