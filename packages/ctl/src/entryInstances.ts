/** Calls entry instances over their operator interface. */
import { requestJson, type Instance, type JsonResponse } from '@wagtailway/platform'

/** Number of entry instances called at the same time. */
const CONCURRENCY = 32

/** Maximum wait for the response of one entry instance, in milliseconds. */
const TIMEOUT_MS = 2_000

export interface InstanceResponse {
  readonly instance: Instance
  /** `undefined` if the instance did not respond. */
  readonly res: JsonResponse | undefined
}

/**
 * Sends a request to every entry instance of the list, in batches.
 *
 * @example
 * const responses = await callEntryInstances(instances, 'GET', '/operator/status')
 */
export async function callEntryInstances(
  instances: readonly Instance[],
  method: 'GET' | 'POST',
  path: string,
): Promise<InstanceResponse[]> {
  const entries = instances.filter(({ role }) => role === 'entry')
  const responses: InstanceResponse[] = []
  for (let i = 0; i < entries.length; i += CONCURRENCY) {
    const batch = entries.slice(i, i + CONCURRENCY)
    responses.push(
      ...(await Promise.all(
        batch.map((instance) => callInstance(instance, method, path)),
      )),
    )
  }
  return responses
}

async function callInstance(
  instance: Instance,
  method: 'GET' | 'POST',
  path: string,
): Promise<InstanceResponse> {
  const url = `http://${instance.address}${path}`
  try {
    const res = await requestJson({ method, url, timeoutMs: TIMEOUT_MS })
    return { instance, res }
  } catch {
    return { instance, res: undefined }
  }
}
