/** What a running router says of itself. */
import { get } from 'node:http'

const TIMEOUT_MS = 300

/** A text answer, or nothing if it does not come in time. */
export function fetchText(
  url: string,
): Promise<{ status: number; body: string } | undefined> {
  return new Promise((resolve) => {
    const req = get(url, { agent: false, timeout: TIMEOUT_MS }, (res) => {
      let body = ''
      res.setEncoding('utf8')
      res.on('data', (part: string) => (body += part))
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

/** Sum of a metric over its labels; nothing if the router does not give it. */
export function metricOf(body: string, name: string): number | undefined {
  const lines = body.split('\n').filter((line) => {
    const isNamed = line.startsWith(name)
    return isNamed && ['{', ' '].includes(line.charAt(name.length))
  })
  if (lines.length === 0) return undefined
  return lines.reduce((sum, line) => sum + Number(line.split(' ').at(-1)), 0)
}
