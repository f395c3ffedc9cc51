/** Which entry instance issues permits and places of a backend server. */
import { hash32 } from '@wagtailway/core'

/**
 * Orders the instances that may issue those of a server, the one responsible first. Rendezvous
 * hashing gives all instances the same order, and a change of the instances moves few servers.
 *
 * @example
 * orderIssuers(['n1', 'n2', 'n3'], 's1 17')[0] // 'n2' on every instance
 */
export function orderIssuers(names: readonly string[], incarnation: string): string[] {
  return names
    .map((name) => ({ name, weight: hash32(`${name} ${incarnation}`) }))
    .toSorted((a, b) => b.weight - a.weight)
    .map(({ name }) => name)
}

/** The first instance of the order that has not failed to answer lately. */
export function firstAnswering(
  order: readonly string[],
  silentUntilMs: ReadonlyMap<string, number>,
  nowMs: number,
): string | undefined {
  return order.find((name) => (silentUntilMs.get(name) ?? 0) <= nowMs) ?? order[0]
}
