/** Watches what the platform accepts and what each router holds. */
import { Ticker, effectiveConfigSchema, type StoredObject } from '@wagtailway/core'
import { requestJson } from '@wagtailway/platform'
import { get } from 'node:http'
import type { Deployment } from '../harness/deployment.js'
import type { RunLog } from './runLog.js'

const CONFIG_POLL_MS = 50
const SAMPLE_MS = 250
const SAMPLE_TIMEOUT_MS = 1_000

/**
 * Samples a deployment until it is closed.
 *
 * @example
 * const observer = Observer.create(deployment, log)
 * await observer.close()
 */
export class Observer {
  readonly #tickers: readonly Ticker[]

  private constructor(deployment: Deployment, log: RunLog) {
    // A part that was killed or frozen gives no sample.
    const onError = (): void => undefined
    this.#tickers = [
      Ticker.create({
        intervalMs: CONFIG_POLL_MS,
        step: () => noteConfig(deployment, log),
        onError,
      }),
      Ticker.create({
        intervalMs: SAMPLE_MS,
        step: () => sampleRouters(deployment, log),
        onError,
      }),
    ]
  }

  static create(deployment: Deployment, log: RunLog): Observer {
    return new Observer(deployment, log)
  }

  async close(): Promise<void> {
    await Promise.all(this.#tickers.map((ticker) => ticker.close()))
  }
}

/** Notes the configuration in the platform if it is a new one. */
export async function noteConfig(deployment: Deployment, log: RunLog): Promise<void> {
  const objects = await deployment.admin(
    deployment.platform,
    'GET',
    '/admin/objects/config',
  )
  const [object] = objects as StoredObject[]
  if (!object || log.configs.at(-1)?.revision === object.revision) return
  log.configs.push({
    revision: object.revision,
    atMs: Date.now(),
    effective: effectiveConfigSchema.parse(object.value),
  })
}

async function sampleRouters(deployment: Deployment, log: RunLog): Promise<void> {
  const samples = deployment.routers.map(async (router, i) => {
    if (router.hasExited) return
    const atMs = Date.now()
    const ready = await requestJson({
      method: 'GET',
      url: `http://${router.address}/readyz`,
      timeoutMs: SAMPLE_TIMEOUT_MS,
    })
    const metrics = await getText(`http://${router.address}/metrics`)
    const revision = /^wagtailway_config_revision (\d+)/m.exec(metrics)?.[1]
    const isReady = ready.status === 200
    log.samples.push({
      router: `n${i + 1}`,
      atMs,
      revision: Number(revision ?? 0),
      isReady,
    })
  })
  await Promise.allSettled(samples)
}

function getText(url: string): Promise<string> {
  return new Promise((resolve, reject) => {
    const req = get(url, { timeout: SAMPLE_TIMEOUT_MS }, (res) => {
      let text = ''
      res.setEncoding('utf8')
      res.on('data', (part: string) => (text += part))
      res.on('end', () => {
        resolve(text)
      })
      res.on('error', reject)
    })
    req.on('timeout', () => {
      req.destroy(new Error(`${url} did not answer`))
    })
    req.on('error', reject)
  })
}
