/** Parses the scenario entries of KNOWN-RED.txt, the list of known test failures. */

const ENTRY = /^scenario ([^:]+): (.+)$/gm

/**
 * Scenarios that are known to fail, with a description of the failure.
 *
 * Each has a line such as `scenario once-outage: seed 1, two runs of one note; issue 4`.
 *
 * @example
 * parseKnownRed(text).get('once-outage')
 */
export function parseKnownRed(text: string): ReadonlyMap<string, string> {
  return new Map(
    [...text.matchAll(ENTRY)].map(([, name = '', failure = '']) => [name, failure]),
  )
}
