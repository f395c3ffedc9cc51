/** Checks of what callers got. */
import { groupBy, type CheckResult, type Evidence, type SentRequest } from './evidence.js'

/** Statuses whose refusals must tell when to come back. */
const TRANSIENT = new Set([429, 503])

/** No answer that looked complete was anything but the whole answer to its own request. */
export function wholeAnswers({ sent }: Evidence): CheckResult {
  const wrong = sent.filter(({ end }) => end === 'wrong')
  return {
    checked: sent.filter(({ end }) => end === 'whole').length + wrong.length,
    violations: wrong.map(
      (s) => `${s.id} at ${s.router} got an answer that is not whole or not its own`,
    ),
  }
}

/** At least this share of requests got a whole answer, repeats counted as one. */
export function answeredShare({ sent }: Evidence, atLeast: number): CheckResult {
  const wishes = [...groupBy(sent, ({ id }) => id).values()]
  const answered = wishes.filter((copies) => copies.some(({ end }) => end === 'whole'))
  const share = wishes.length === 0 ? 0 : answered.length / wishes.length
  const missing = wishes.filter((copies) => !answered.includes(copies))
  return {
    checked: wishes.length,
    violations:
      share >= atLeast
        ? []
        : [
            `${answered.length} of ${wishes.length} were answered: ${reasons(missing.flat())}`,
          ],
  }
}

/** Requests ended only in these ways, and refusals gave only these reasons. */
export function endsOnly({ sent }: Evidence, allowed: readonly string[]): CheckResult {
  const others = sent.filter((s) => !allowed.includes(endName(s)))
  return {
    checked: sent.length,
    violations: others.length === 0 ? [] : [`other ends: ${reasons(others)}`],
  }
}

/** At least so many requests ended so; shows that a fault was felt. */
export function endsSeen({ sent }: Evidence, name: string, atLeast: number): CheckResult {
  const seen = sent.filter((s) => endName(s) === name).length
  return {
    checked: sent.length,
    violations: seen >= atLeast ? [] : [`${seen} ended as ${name}, not ${atLeast}`],
  }
}

/** Every refusal is typed, and a passing one tells when to come back. */
export function refusalsTyped({ sent }: Evidence): CheckResult {
  const refused = sent.filter(({ end }) => end === 'refused')
  return {
    checked: sent.length,
    violations: refused.flatMap((s) => {
      if (s.reason === '' || s.ran === '') return [`${s.id}: status ${s.status} untyped`]
      const needsTime = TRANSIENT.has(s.status) && s.retryAfterMs === undefined
      return needsTime ? [`${s.id}: ${s.reason} tells no time to come back`] : []
    }),
  }
}

/** Every request ended within this time. */
export function endsWithin({ sent }: Evidence, withinMs: number): CheckResult {
  return {
    checked: sent.length,
    violations: sent
      .filter((s) => s.end === 'hung' || s.endedAtMs - s.sentAtMs > withinMs)
      .map((s) => `${s.id} (${endName(s)}) took ${s.endedAtMs - s.sentAtMs} ms`),
  }
}

/** A stopping router broke no request and turned none away without an answer. */
export function drainCutsNothing({ sent, stops, exits }: Evidence): CheckResult {
  const cut = sent.filter(
    (s) => stops.some(({ part }) => part === s.router) && CUT_ENDS.has(s.end),
  )
  const stuck = stops.filter(({ part }) => !exits.some((exit) => exit.part === part))
  return {
    checked: stops.length,
    violations: [
      ...cut.map((s) => `${s.id} at ${s.router} was ${s.end}`),
      ...stuck.map(({ part }) => `${part} never ended`),
    ],
  }
}

/** Each stopped router ended within this time. */
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

/** The reason of a refusal, or how else a request ended. */
export function endName(sent: SentRequest): string {
  return sent.end === 'refused' ? sent.reason : sent.end
}

function reasons(sent: readonly SentRequest[]): string {
  return [...groupBy(sent, endName)]
    .map(([name, group]) => `${group.length} ${name}`)
    .join(', ')
}
