/** Tables of slopes and their fits. */
import { fitSlopes, type SlopePoint } from './slopes.js'

const FIGURES: readonly [string, (point: SlopePoint) => number][] = [
  ['bytes/s', (p) => p.bytesPerSecond],
  ['most bytes/s', (p) => p.mostBytesPerSecond],
  ['messages/s', (p) => p.messagesPerSecond],
  ['cpu ms/s', (p) => p.cpuMsPerSecond],
  ['heap KB', (p) => p.heapKb],
  ['platform/s', (p) => p.platformCallsPerSecond],
]

/** The points, then for each figure both fits and what they say of `at` nodes. */
export function formatSlopes(points: readonly SlopePoint[], at: number): string {
  const head = ['nodes', 'replicas', ...FIGURES.map(([name]) => name)]
  const rows = points.map((p) => [
    String(p.nodes),
    String(p.replicas),
    ...FIGURES.map(([, of]) => of(p).toFixed(2)),
  ])
  const table = [head, ...rows].map((row) =>
    row.map((cell) => cell.padStart(13)).join(''),
  )
  const fits = FIGURES.flatMap(([name, of]) =>
    fitSlopes(points, of, at).map(
      ({ kind, rSquared, residual, predicted }) =>
        `${name.padEnd(14)}${kind.padEnd(13)}R2 ${rSquared.toFixed(3)}` +
        `  largest residual ${residual.toFixed(2)}  at ${at}: ${predicted.toFixed(2)}`,
    ),
  )
  return [...table, ...(points.length > 2 ? fits : [])].join('\n')
}
