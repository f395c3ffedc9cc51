/** Options and results of a simulation of requests with long prompts. */
import { seededRandom } from '@wagtailway/core'
import {
  ServiceAdmission,
  type Acceptance,
  type AcceptanceInputs,
  type BackendServer,
  type CascadeOptions,
} from '@wagtailway/gateway'
import type { VirtualTime } from '../loadModel/virtualTime.js'
import type { EngineSpec } from './engineModel.js'
import type { LoadSharing, PromptNode } from './loadSharing.js'
import type { ModelSpec, PromptClass, PromptRequest } from './promptWorkload.js'

/** What an admission decision is made from. */
export interface AdmissionInputs {
  /** Priority of the class, zero for the most urgent. */
  readonly priority: number
  readonly expectedFirstByteMs: number
  readonly outputTokens: number
  readonly timeToTargetMs: number
  readonly timeToDeadlineMs: number
}

/** Decisions that vary between runs. */
export interface PromptPolicy {
  readonly evaluate: (inputs: AcceptanceInputs, opts: CascadeOptions) => Acceptance
  /**
   * Whether a request is sent to an engine or refused; by default while its first byte is
   * expected before the deadline.
   */
  readonly admit?: (inputs: AdmissionInputs) => boolean
}

export interface PromptRunOptions {
  readonly classes: readonly PromptClass[]
  readonly models: readonly ModelSpec[]
  readonly engine: EngineSpec
  readonly engines: number
  readonly nodes: number
  readonly durationMs: number
  /** Factor of the mean request rate, as a function of time. */
  readonly rateAt: (atMs: number) => number
  readonly policy: PromptPolicy
  readonly seed: number
  /**
   * How nodes tell each other their loads.
   *
   * @default reportToEach
   */
  readonly shareLoads?: LoadSharing
  /** Arrivals before this time are played, but not counted; 0 by default. */
  readonly countFromMs?: number
  /** Number of availability zones of the nodes; one by default. */
  readonly zones?: number
  /** Share of the datagrams between nodes that are lost; none by default. */
  readonly lossShare?: number
  /** Whether the node with this index has ended; no requests reach it then. */
  readonly isNodeDown?: (index: number, atMs: number) => boolean
  /** Factor of the duration of an engine's steps, such as 3.5 while it is slow. */
  readonly slowdownAt?: (engine: number, atMs: number) => number
  /** Relative share of a zone in the arrivals at a time; equal shares by default. */
  readonly zoneWeightAt?: (zone: number, atMs: number) => number
  /** Changes a generated request, such as the length of its prompt. */
  readonly changeRequest?: (req: PromptRequest, index: number) => PromptRequest
  /** Delay of the datagrams between nodes; 1 ms by default. */
  readonly datagramLagMs?: number
  /** Whether nodes decide on admission; if not, all requests are sent alike. */
  readonly hasAdmission?: boolean
  /** Called for each counted request when its outcome is known. */
  readonly onEnd?: (end: RequestEnd) => void
}

/** How a request of a simulation ended. */
export interface RequestEnd {
  readonly req: PromptRequest
  /** Zone of the node that served or refused it last. */
  readonly zone: string
  readonly result: 'in_time' | 'late' | 'refused' | 'cut'
  /** Credit earned as a fraction of the class's full credit. */
  readonly creditShare: number
}

/** Counts and credit of one class of requests. */
export interface PromptOutcome {
  readonly name: string
  requests: number
  inTime: number
  late: number
  /** Requests refused for good, and those that were cut off at their deadline. */
  refused: number
  cut: number
  /** Credit earned, and the credit if every response were good and in time. */
  earnedCredit: number
  fullCredit: number
  /** Outputs accepted because there was no time to ask the next model. */
  noTimeForNext: number
}

export interface PromptRunResult {
  readonly outcomes: readonly PromptOutcome[]
  /** Earned credit as a fraction of the full credit. */
  readonly creditRatio: number
  /** Fraction of the engines' time spent on prefill. */
  readonly prefillFraction: number
  readonly prefilledTokens: number
  readonly cacheHitTokens: number
  /** Bytes a second that a node sends and receives to share loads. */
  readonly meanBytesPerS: number
  readonly maxBytesPerS: number
}

/** Admission of each node by its name; empty unless the run has it. */
export function createAdmissions(
  { hasAdmission = false, seed }: PromptRunOptions,
  time: VirtualTime,
  nodes: readonly PromptNode[],
  servers: readonly BackendServer[],
): Map<string, ServiceAdmission> {
  if (!hasAdmission) return new Map()
  return new Map(
    nodes.map(({ name, load }, i) => [
      name,
      ServiceAdmission.create({
        clock: time.now,
        random: seededRandom(seed + 2 + i),
        servers: () => servers,
        loadOf: (id) => load.total(id),
        ownLoadOf: (id) => load.localLoads.get(id),
        instanceCount: () => nodes.length,
        loadsAgeMs: () => load.reportedAgeMs,
      }),
    ]),
  )
}

/** Draws the node that a request arrives at. */
export function drawNode(
  nodes: readonly PromptNode[],
  atMs: number,
  random: () => number,
  { zoneWeightAt, zones = 1 }: PromptRunOptions,
): PromptNode | undefined {
  if (!zoneWeightAt) return nodes[Math.floor(random() * nodes.length)]
  const weights = Array.from({ length: zones }, (_, zone) => zoneWeightAt(zone, atMs))
  let left = random() * weights.reduce((sum, weight) => sum + weight, 0)
  const zone = weights.findIndex((weight) => (left -= weight) < 0)
  const inZone = nodes.filter((node) => node.zone === `z${zone}`)
  return inZone[Math.floor(random() * inZone.length)]
}
