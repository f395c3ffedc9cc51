/** Formats the measurements of growing fleets and their fits. */
import { fitSlopes, type SlopePoint } from './slopes.js'

const FIGURES: readonly [string, (point: SlopePoint) => number][] = [
  ['bytes/s', (p) => p.bytesPerSecond],
  ['most bytes/s', (p) => p.mostBytesPerSecond],
  ['messages/s', (p) => p.messagesPerSecond],
  ['cpu ms/s', (p) => p.cpuMsPerSecond],
  ['heap KB', (p) => p.heapKb],
  ['platform/s', (p) => p.platformCallsPerSecond],
]

/**
 * Formats the points, then both fits of each figure with their value at
 * `extrapolatedNodes`. The fits need at least three points.
 */
export function formatSlopes(
  points: readonly SlopePoint[],
  extrapolatedNodes: number,
): string {
  const header = ['nodes', 'replicas', ...FIGURES.map(([name]) => name)]
  const rows = points.map((p) => [
    String(p.nodes),
    String(p.replicas),
    ...FIGURES.map(([, figureOf]) => figureOf(p).toFixed(2)),
  ])
  const table = [header, ...rows].map((row) =>
    row.map((cell) => cell.padStart(13)).join(''),
  )
  const fits = FIGURES.flatMap(([name, figureOf]) =>
    fitSlopes(points, figureOf, extrapolatedNodes).map(
      ({ kind, rSquared, residual, predicted }) =>
        `${name.padEnd(14)}${kind.padEnd(13)}R2 ${rSquared.toFixed(3)}` +
        `  largest residual ${residual.toFixed(2)}  at ${extrapolatedNodes}: ${predicted.toFixed(2)}`,
    ),
  )
  return [...table, ...(points.length > 2 ? fits : [])].join('\n')
}
