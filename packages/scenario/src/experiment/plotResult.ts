/** Renders the result of an experiment as SVG, without a DOM. */
import { View, parse } from 'vega'
import { compile, type TopLevelSpec } from 'vega-lite'
import type { MetricSpec } from './experiment.js'
import { metricValues, type ExperimentResult } from './runExperiment.js'
import { meanInterval } from './statistics.js'

const PANEL_WIDTH = 170
const ROW_STEP = 18

export interface Plot {
  /** File name without a folder. */
  readonly fileName: string
  readonly svg: string
}

/**
 * Renders one plot for each metric that has a plot title.
 *
 * @example
 * const plots = await plotResult(result)
 */
export async function plotResult(result: ExperimentResult): Promise<Plot[]> {
  const plots: Plot[] = []
  for (const metric of result.experiment.metrics) {
    if (metric.plotTitle === undefined) continue
    const svg = await toSvg(plotSpec(result, metric))
    plots.push({ fileName: `${result.experiment.name}-${slug(metric.name)}.svg`, svg })
  }
  return plots
}

async function toSvg(spec: TopLevelSpec): Promise<string> {
  const view = new View(parse(compile(spec).spec), { renderer: 'none' })
  const svg = await view.toSVG()
  view.finalize()
  return `${svg}\n`
}

function plotSpec(result: ExperimentResult, metric: MetricSpec): TopLevelSpec {
  const values = result.cells.map((cell) => ({
    ...cell.cell,
    ...meanInterval(metricValues(cell, metric.name)),
  }))
  const policies = [...new Set(values.map(({ policy }) => policy))]
  const y = { field: 'policy', type: 'nominal', sort: policies, title: null } as const
  return {
    title: `${metric.plotTitle ?? metric.name} (${result.seeds} seeds, 95 % intervals)`,
    data: { values },
    facet: {
      row: { field: 'fault', title: null },
      column: { field: 'workload', title: null },
    },
    spec: {
      width: PANEL_WIDTH,
      height: { step: ROW_STEP },
      layer: [
        {
          mark: 'bar',
          encoding: {
            y,
            x: { field: 'mean', type: 'quantitative', title: metric.name },
            color: { field: 'policy', type: 'nominal', legend: null, sort: policies },
          },
        },
        {
          mark: 'rule',
          encoding: {
            y,
            x: { field: 'low', type: 'quantitative' },
            x2: { field: 'high' },
          },
        },
      ],
    },
    resolve: { scale: { x: 'independent' } },
  }
}

function slug(text: string): string {
  return text
    .toLowerCase()
    .replaceAll(/[^a-z0-9]+/g, '-')
    .replaceAll(/^-|-$/g, '')
}
