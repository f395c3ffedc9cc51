/** Bounds the nesting of decoded JSON. */

/** Levels of nesting in stored objects; the deepest have six. */
const MAX_DEPTH = 64

type Container = Record<string, unknown>

/**
 * Replaces what is nested too deeply by null. Functions that call themselves for each level,
 * such as encoders and comparisons, fail on values that decoders still read.
 *
 * @example
 * const body = limitDepth(JSON.parse(text))
 */
export function limitDepth(value: unknown): unknown {
  let level = isContainer(value) ? [value] : []
  for (let depth = 1; level.length > 0; depth += 1) {
    const next: Container[] = []
    for (const container of level) {
      for (const [key, child] of Object.entries(container)) {
        if (!isContainer(child)) continue
        if (depth < MAX_DEPTH) next.push(child)
        else container[key] = null
      }
    }
    level = next
  }
  return value
}

function isContainer(value: unknown): value is Container {
  return typeof value === 'object' && value !== null
}
