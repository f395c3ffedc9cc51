/** Reads the HTTP endpoints and metrics of a running router. */
import { get } from 'node:http'

/** Maximum inactivity of a request, in milliseconds. */
const TIMEOUT_MS = 300

/** Fetches a text response; undefined if the request fails or times out. */
export function fetchText(
  url: string,
): Promise<{ status: number; body: string } | undefined> {
  return new Promise((resolve) => {
    const req = get(url, { agent: false, timeout: TIMEOUT_MS }, (res) => {
      let body = ''
      res.setEncoding('utf8')
      res.on('data', (chunk: string) => (body += chunk))
      res.on('end', () => {
        resolve({ status: res.statusCode ?? 0, body })
      })
      res.on('error', () => {
        resolve(undefined)
      })
    })
    req.on('timeout', () => req.destroy())
    req.on('error', () => {
      resolve(undefined)
    })
  })
}

/** Sums a metric over its labels; undefined if the router doesn't expose it. */
export function metricSum(body: string, name: string): number | undefined {
  const lines = body.split('\n').filter((line) => {
    const isNamed = line.startsWith(name)
    return isNamed && ['{', ' '].includes(line.charAt(name.length))
  })
  if (lines.length === 0) return undefined
  return lines.reduce((sum, line) => sum + Number(line.split(' ').at(-1)), 0)
}
