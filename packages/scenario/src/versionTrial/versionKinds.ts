/** Versions of a plain service, good and bad, and troubles that servers have beside. */
import type { Random } from '@wagtailway/core'

/** A response of a server. */
export interface TrialResponse {
  readonly isFailure: boolean
  readonly ms: number
}

/** What a response may depend on. */
export interface ResponseInputs {
  readonly random: Random
  readonly sinceOrderMs: number
  readonly route: TrialRoute
  /** Whether all requests go to the version. */
  readonly hasFullLoad: boolean
  readonly usual: TrialResponse
}

/** How a version changes its responses. */
export type VersionKind = (inputs: ResponseInputs) => TrialResponse

/** One kind of request that a service gets. */
export interface TrialRoute {
  readonly name: string
  /** Share of the service's requests. */
  readonly share: number
  /** Share of its responses that fail with any version. */
  readonly failureShare: number
}

/** Routes of a service on the users' platform; the last one always times out. */
export const ROUTES: readonly TrialRoute[] = [
  { name: 'confirm', share: 0.36, failureShare: 0 },
  { name: 'check', share: 0.32, failureShare: 0.14 },
  { name: 'list', share: 0.25, failureShare: 0 },
  { name: 'report', share: 0.07, failureShare: 1 },
]

const BAD_SHARE = 0.5
const SLOW_FACTOR = 8
const LATE_MS = 6_000

const failing: VersionKind = ({ random, usual }) =>
  random() < BAD_SHARE ? { ...usual, isFailure: true } : usual

export const GOOD_VERSION: VersionKind = ({ usual }) => usual

export const BAD_VERSIONS: Readonly<Record<string, VersionKind>> = {
  failing,
  'failing a third': ({ random, usual }) =>
    random() < 1 / 3 ? { ...usual, isFailure: true } : usual,
  slow: ({ random, usual }) =>
    random() < BAD_SHARE ? { ...usual, ms: usual.ms * SLOW_FACTOR } : usual,
  'failing later': (inputs) =>
    inputs.sinceOrderMs > LATE_MS ? failing(inputs) : inputs.usual,
  'failing under load': (inputs) => (inputs.hasFullLoad ? failing(inputs) : inputs.usual),
  'failing on one route': (inputs) =>
    inputs.route.name === 'list' ? failing(inputs) : inputs.usual,
}

/** What happens to a response on its way, whatever its version. */
export interface TroubleInputs {
  readonly random: Random
  readonly sinceOrderMs: number
  readonly server: string
}

/** Whether a response is lost. */
export type Trouble = (inputs: TroubleInputs) => boolean

const TROUBLE_FROM_MS = 5_000
const TROUBLE_UNTIL_MS = 11_000

function during(trouble: Trouble): Trouble {
  return (inputs) =>
    inputs.sinceOrderMs > TROUBLE_FROM_MS &&
    inputs.sinceOrderMs < TROUBLE_UNTIL_MS &&
    trouble(inputs)
}

export const TROUBLES: Readonly<Record<string, Trouble>> = {
  'lost responses': during(({ random }) => random() < 0.05),
  'a crashed server of the new version': during(({ server }) => server === 'v2-0'),
  'servers of one zone cut off': during(({ server }) => server.endsWith('-1')),
  'a moment without any response': ({ sinceOrderMs }) =>
    sinceOrderMs > TROUBLE_FROM_MS && sinceOrderMs < TROUBLE_FROM_MS + 500,
}
