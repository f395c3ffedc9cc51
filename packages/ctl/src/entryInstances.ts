/** Asks entry instances over their operators' interface. */
import { requestJson, type Instance, type JsonResponse } from '@wagtailway/platform'

/** Entry instances asked at the same time. */
const CONCURRENCY = 32

/** Longest wait for one entry instance, in milliseconds. */
const TIMEOUT_MS = 2_000

export interface Asked {
  readonly instance: Instance
  /** Absent if the instance did not answer. */
  readonly res: JsonResponse | undefined
}

/**
 * Sends a GET to every entry instance of the list, a few at a time.
 *
 * @example
 * const asked = await askEntryInstances(instances, '/operator/status')
 */
export async function askEntryInstances(
  instances: readonly Instance[],
  path: string,
): Promise<Asked[]> {
  const entries = instances.filter(({ role }) => role === 'entry')
  const asked: Asked[] = []
  for (let i = 0; i < entries.length; i += CONCURRENCY) {
    const batch = entries.slice(i, i + CONCURRENCY)
    asked.push(...(await Promise.all(batch.map((instance) => ask(instance, path)))))
  }
  return asked
}

async function ask(instance: Instance, path: string): Promise<Asked> {
  const url = `http://${instance.address}${path}`
  try {
    const res = await requestJson({ method: 'GET', url, timeoutMs: TIMEOUT_MS })
    return { instance, res }
  } catch {
    return { instance, res: undefined }
  }
}
