/** JSON texts that differ from a valid one in some values. */
import fc from 'fast-check'

/** Numbers beyond what fields hold, as they are on the wire. */
const ODD_NUMBERS = [
  ...['0', '-0', '-1', '0.5', '-0.5', '1.5', '9', '10', '1e999', '-1e999', '1e300'],
  ...['-1e300', '2147483648', '4294967295', '4294967296', '9007199254740990'],
  ...['9007199254740993', '5e-324', '1e15'],
]

/** Values that fit hardly any field. */
const ODD_VALUES = [
  ...[
    'null',
    'true',
    'false',
    '""',
    '"x"',
    '"__proto__"',
    '"\\ud800"',
    '"\\u0000"',
    '"7"',
  ],
  ...['"NaN"', '[]', '[[]]', '{}', '[null]', '[1e999]', '{"a":[]}', '{"length":-1}'],
  ...['{"length":4294967295}', '{"valueOf":1,"toString":1}'],
]

type Change = 'replace' | 'remove' | 'repeat'

interface Mutation {
  readonly change: Change
  /** At each level, which of the values it goes on with. */
  readonly path: readonly number[]
  readonly odd: string
}

const mutation: fc.Arbitrary<Mutation> = fc.record({
  change: fc.constantFrom<Change>('replace', 'replace', 'replace', 'remove', 'repeat'),
  path: fc.array(fc.nat({ max: 1_000 }), { minLength: 1, maxLength: 6 }),
  odd: fc.oneof(
    { weight: 4, arbitrary: fc.constantFrom(...ODD_NUMBERS) },
    { weight: 1, arbitrary: fc.constantFrom(...ODD_VALUES) },
    { weight: 1, arbitrary: fc.json() },
  ),
})

/**
 * Texts of a value with up to three values in it replaced, removed or repeated.
 *
 * @example
 * fc.assert(fc.property(mutatedJson({ a: [1, 2] }), (text) => decode(text) !== 'thrown'))
 */
export function mutatedJson(valid: unknown): fc.Arbitrary<string> {
  return fc.array(mutation, { maxLength: 3 }).map((mutations) => {
    const root = [structuredClone(valid)]
    for (const [i, { change, path }] of mutations.entries())
      mutate(root, [0, ...path], change, placeholder(i))
    let text = JSON.stringify(root).slice(1, -1)
    for (const [i, { odd }] of mutations.entries())
      text = text.replaceAll(JSON.stringify(placeholder(i)), () => odd)
    return text
  })
}

function placeholder(i: number): string {
  return `@odd${i}`
}

/** Changes one of the values below, the one at which the path or the nesting ends. */
function mutate(
  parent: unknown[] | Record<string, unknown>,
  [step = 0, ...path]: readonly number[],
  change: Change,
  odd: string,
): void {
  const keys = Object.keys(parent)
  const key = keys[step % keys.length]
  if (key === undefined) return
  const values = parent as Record<string, unknown>
  const child = values[key]
  const hasChildren =
    typeof child === 'object' && child !== null && Object.keys(child).length > 0
  if (path.length > 0 && hasChildren) {
    mutate(child as Record<string, unknown>, path, change, odd)
    return
  }
  if (change === 'replace') values[key] = odd
  else if (!Array.isArray(parent)) Reflect.deleteProperty(parent, key)
  else if (change === 'remove') parent.splice(Number(key), 1)
  else parent.splice(Number(key), 0, child)
}
