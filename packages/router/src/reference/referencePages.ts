/** Generates the reference pages from the code; a test compares them with the pages in docs. */
import { REFUSAL_STATUS, type Setting } from '@wagtailway/core'
import { RouterMetrics } from '../metrics.js'
import { ROUTER_SETTINGS } from '../options.js'
import { REFUSAL_HELP } from './refusalHelp.js'

/** Note on every page that says how it is generated. */
const GENERATED_NOTE = 'This page is generated from the code by `npm run docs`.'

/**
 * Generates all pages, by file name.
 *
 * @example
 * const page = (await referencePages()).get('settings.md')
 */
export async function referencePages(): Promise<ReadonlyMap<string, string>> {
  return new Map([
    ['settings.md', settingsPage()],
    ['metrics.md', await metricsPage()],
    ['refusals.md', refusalsPage()],
  ])
}

function settingsPage(): string {
  const rows = ROUTER_SETTINGS.map((setting) => [
    `\`--${setting.flag}\``,
    `\`${setting.variable}\``,
    setting.type,
    defaultOf(setting),
    setting.description,
  ])
  return page('Settings of wagtailway-router', [
    'Flags override environment variables. All invalid settings are reported at once and the process exits with code 2.',
    table(['flag', 'variable', 'type', 'default', 'meaning'], rows),
  ])
}

async function metricsPage(): Promise<string> {
  const metrics = await RouterMetrics.create().registry.getMetricsAsArray()
  const rows = metrics.map((metric) => {
    const { labelNames = [] } = metric as { labelNames?: readonly string[] }
    const labels = labelNames.map((label) => `\`${label}\``).join(', ')
    return [`\`${metric.name}\``, labels, metric.help]
  })
  return page('Metrics of wagtailway-router', [
    'Served at `/metrics`, in the text format of Prometheus.',
    table(['metric', 'labels', 'meaning'], rows),
  ])
}

function refusalsPage(): string {
  const rows = Object.entries(REFUSAL_STATUS).map(([reason, status]) => [
    `\`${reason}\``,
    String(status),
    REFUSAL_HELP[reason] ?? '',
  ])
  return page('Refusals', [
    'A reason is the `type` of a refusal and a value of the label `reason` of `wagtailway_refusals_total`.',
    table(['reason', 'status', 'meaning'], rows),
  ])
}

function defaultOf({ defaultValue, required }: Setting): string {
  if (defaultValue !== undefined) return `\`${defaultValue}\``
  return required ? 'required' : 'none'
}

function page(title: string, parts: readonly string[]): string {
  return `${[`# ${title}`, GENERATED_NOTE, ...parts].join('\n\n')}\n`
}

/** Formats a Markdown table, with cells padded as Prettier does. */
function table(
  headings: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const widths = headings.map((heading, i) =>
    Math.max(heading.length, ...rows.map((row) => row[i]?.length ?? 0)),
  )
  const formatRow = (cells: readonly string[]): string =>
    `| ${cells.map((cell, i) => cell.padEnd(widths[i] ?? 0)).join(' | ')} |`
  const separator = widths.map((width) => '-'.repeat(width))
  return [headings, separator, ...rows].map(formatRow).join('\n')
}
