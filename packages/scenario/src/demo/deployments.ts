/** The two deployments of the playground and the requests that the demo sends them. */
import { fileURLToPath } from 'node:url'
import type { EngineSpec } from '../harness/deployment.js'

export interface DemoClass {
  readonly workspace: string
  readonly apiKey: string
  readonly className: string
  /** Share of the requests, relative to the weights of the other classes. */
  readonly weight: number
  readonly stream: boolean
  readonly sessions: boolean
  /** Plain service that is called instead of a model. */
  readonly service?: string
  /** Whether each request must run at most once. */
  readonly nonIdempotent?: boolean
}

export interface DemoDeployment {
  readonly name: string
  readonly declarations: string
  readonly engines: readonly EngineSpec[]
  readonly services: readonly string[]
  readonly classes: readonly DemoClass[]
  /** True quality of each version, which only the rating service knows. */
  readonly qualities: Readonly<Record<string, number>>
}

const ZONES = 3

/** Six engines in three zones; four serve the cheap version and two the good one. */
function engines(prefix: string, cheap: string, good: string): EngineSpec[] {
  return Array.from({ length: 6 }, (_, i) => ({
    id: `${prefix}-e${i + 1}`,
    zone: `z${(i % ZONES) + 1}`,
    versions: [i < 4 ? cheap : good],
  }))
}

function declarations(name: string): string {
  return fileURLToPath(new URL(`../../../../playground/${name}`, import.meta.url))
}

export const DEMO_DEPLOYMENTS: readonly DemoDeployment[] = [
  {
    name: 'gebeta',
    declarations: declarations('gebeta'),
    engines: engines('gebeta', 'summariser@small', 'summariser@large'),
    services: ['queue'],
    qualities: { 'summariser@small': 0.72, 'summariser@large': 0.91 },
    classes: [
      {
        workspace: 'kebele',
        apiKey: 'kebele-key',
        className: 'queue-check',
        weight: 5,
        stream: false,
        sessions: false,
      },
      {
        workspace: 'kebele',
        apiKey: 'kebele-key',
        className: 'queue-check',
        weight: 2,
        stream: false,
        sessions: false,
        service: 'queue',
      },
      {
        workspace: 'panel',
        apiKey: 'panel-key',
        className: 'dossier',
        weight: 3,
        stream: true,
        sessions: true,
      },
    ],
  },
  {
    name: 'haneul',
    declarations: declarations('haneul'),
    engines: engines('haneul', 'drafter@fast', 'drafter@exact'),
    services: ['gauge'],
    qualities: { 'drafter@fast': 0.77, 'drafter@exact': 0.93 },
    classes: [
      {
        workspace: 'desk',
        apiKey: 'desk-key',
        className: 'alarm-note',
        weight: 5,
        stream: true,
        sessions: false,
      },
      {
        workspace: 'desk',
        apiKey: 'desk-key',
        className: 'handover',
        weight: 2,
        stream: false,
        sessions: false,
        nonIdempotent: true,
      },
      {
        workspace: 'desk',
        apiKey: 'desk-key',
        className: 'alarm-note',
        weight: 1,
        stream: false,
        sessions: false,
        service: 'gauge',
        nonIdempotent: true,
      },
      {
        workspace: 'accounts',
        apiKey: 'accounts-key',
        className: 'reconciliation',
        weight: 2,
        stream: true,
        sessions: true,
      },
    ],
  },
]
