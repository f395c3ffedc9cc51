/** Checks of the responses that callers received. */
import { groupBy, type CheckResult, type Evidence, type SentRequest } from './evidence.js'

/** Statuses whose refusals must state a time after which to retry. */
const TRANSIENT_STATUSES = new Set([429, 503])

/** Each response that looked complete was the complete response to its own request. */
export function wholeAnswers({ sent }: Evidence): CheckResult {
  const wrong = sent.filter(({ end }) => end === 'wrong')
  return {
    checked: sent.filter(({ end }) => end === 'whole').length + wrong.length,
    violations: wrong.map(
      (s) =>
        `${s.id} at ${s.router} got a response that is incomplete or belongs to another request`,
    ),
  }
}

/**
 * At least the share `atLeast` of the requests got a complete response. Copies and
 * retries of a request count as one request.
 */
export function answeredShare({ sent }: Evidence, atLeast: number): CheckResult {
  const requests = [...groupBy(sent, ({ id }) => id).values()]
  const answered = requests.filter((copies) => copies.some(({ end }) => end === 'whole'))
  const share = requests.length === 0 ? 0 : answered.length / requests.length
  const unanswered = requests.filter((copies) => !answered.includes(copies))
  return {
    checked: requests.length,
    violations:
      share >= atLeast
        ? []
        : [
            `${answered.length} of ${requests.length} were answered: ${summarizeEnds(unanswered.flat())}`,
          ],
  }
}

/** Requests ended only in the allowed ways; a refusal is named by its reason. */
export function endsOnly({ sent }: Evidence, allowed: readonly string[]): CheckResult {
  const others = sent.filter((s) => !allowed.includes(endName(s)))
  return {
    checked: sent.length,
    violations: others.length === 0 ? [] : [`other ends: ${summarizeEnds(others)}`],
  }
}

/** At least `atLeast` requests ended this way; shows that a fault had an effect. */
export function endsSeen({ sent }: Evidence, name: string, atLeast: number): CheckResult {
  const count = sent.filter((s) => endName(s) === name).length
  return {
    checked: sent.length,
    violations: count >= atLeast ? [] : [`${count} ended as ${name}, not ${atLeast}`],
  }
}

/** Every refusal is typed, and a temporary one states a time after which to retry. */
export function refusalsTyped({ sent }: Evidence): CheckResult {
  const refused = sent.filter(({ end }) => end === 'refused')
  return {
    checked: sent.length,
    violations: refused.flatMap((s) => {
      if (s.reason === '' || s.ran === '') return [`${s.id}: status ${s.status} untyped`]
      const needsTime = TRANSIENT_STATUSES.has(s.status) && s.retryAfterMs === undefined
      return needsTime ? [`${s.id}: ${s.reason} has no time after which to retry`] : []
    }),
  }
}

/** Every request ended within `withinMs`. */
export function endsWithin({ sent }: Evidence, withinMs: number): CheckResult {
  return {
    checked: sent.length,
    violations: sent
      .filter((s) => s.end === 'hung' || s.endedAtMs - s.sentAtMs > withinMs)
      .map((s) => `${s.id} (${endName(s)}) took ${s.endedAtMs - s.sentAtMs} ms`),
  }
}

/**
 * No request to a router that got SIGTERM failed without a proper response, and each
 * such router exited.
 */
export function drainCutsNothing({ sent, stops, exits }: Evidence): CheckResult {
  const cutRequests = sent.filter(
    (s) => stops.some(({ part }) => part === s.router) && CUT_ENDS.has(s.end),
  )
  const notExited = stops.filter(({ part }) => !exits.some((exit) => exit.part === part))
  return {
    checked: stops.length,
    violations: [
      ...cutRequests.map((s) => `${s.id} at ${s.router} was ${s.end}`),
      ...notExited.map(({ part }) => `${part} never ended`),
    ],
  }
}

/** Each router exited within `withinMs` after it got SIGTERM. */
export function exitsWithin({ stops, exits }: Evidence, withinMs: number): CheckResult {
  return {
    checked: stops.length,
    violations: stops.flatMap(({ part, atMs }) => {
      const exit = exits.find((e) => e.part === part && e.atMs >= atMs)
      if (exit && exit.atMs - atMs <= withinMs) return []
      return [`${part} ended ${exit ? `after ${exit.atMs - atMs} ms` : 'never'}`]
    }),
  }
}

const CUT_ENDS: ReadonlySet<string> = new Set(['broken', 'unreached', 'hung', 'wrong'])

/** The reason if the request was refused; otherwise the way in which it ended. */
export function endName(sent: SentRequest): string {
  return sent.end === 'refused' ? sent.reason : sent.end
}

function summarizeEnds(sent: readonly SentRequest[]): string {
  return [...groupBy(sent, endName)]
    .map(([name, group]) => `${group.length} ${name}`)
    .join(', ')
}
