/** Entries of KNOWN-RED.txt that name scenarios. */

const ENTRY = /^scenario ([^:]+): (.+)$/gm

/**
 * Scenarios that are known to fail, with what was seen.
 *
 * Each has a line such as `scenario once-outage: seed 1, two runs of one note; issue 4`.
 *
 * @example
 * parseKnownRed(text).get('once-outage')
 */
export function parseKnownRed(text: string): ReadonlyMap<string, string> {
  return new Map(
    [...text.matchAll(ENTRY)].map(([, name = '', seen = '']) => [name, seen]),
  )
}
