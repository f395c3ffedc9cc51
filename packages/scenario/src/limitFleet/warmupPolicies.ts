/** How an instance keeps to the bound on requests to a cold server, as the gateway does. */
import { ColdServers, WarmupLimiter, boundOf, isWarmupAsk } from '@wagtailway/gateway'
import { LIMITED_SERVER, type GuardOptions, type LimitPolicy } from './limitPolicies.js'

/** Time for which the server is cold, in milliseconds; longer than any trial. */
const COLD_MS = 120_000

export const COLD_PER_S = 6.7
export const COLD_BOUND = boundOf(COLD_PER_S, { over: 1.5, slack: 5 })

function createLimiter({ send, instances, ...opts }: GuardOptions): WarmupLimiter {
  const cold = ColdServers.create({ clock: opts.clock, onChange: () => undefined })
  cold.apply({ ...LIMITED_SERVER, cold: { remainingMs: COLD_MS, revision: 1 } })
  const warmup = WarmupLimiter.create({
    ...opts,
    cold,
    issuers: instances,
    boundOf: () => COLD_BOUND,
    onAsk: () => undefined,
  })
  warmup.sendAsk = (issuer, ask) => {
    send(issuer, { type: 'ask', asker: opts.name, ask })
  }
  return warmup
}

/** @param hasWarmServers Whether requests can go to other servers instead of waiting. */
function warmupPolicy(hasWarmServers: boolean): LimitPolicy {
  return (opts) => {
    const warmup = createLimiter(opts)
    return {
      mayUse: async () => {
        const taken = warmup.tryTake(LIMITED_SERVER)
        if (taken) return true
        if (hasWarmServers) warmup.askAhead([LIMITED_SERVER])
        const permit = hasWarmServers ? undefined : await warmup.acquire(LIMITED_SERVER)
        return permit !== undefined && warmup.isValid(LIMITED_SERVER, permit)
      },
      observe: () => undefined,
      report: () => ({ limits: [] }),
      applyReport: () => undefined,
      applyMessage: (sender, message) => {
        if (message.type === 'grant') {
          warmup.applyGrant(message.id, message.grant)
          return
        }
        const { asker, ask } = message
        if (!isWarmupAsk(ask)) return
        const grant = warmup.answer(asker, ask)
        opts.send(sender, { type: 'grant', id: ask.id, grant })
      },
    }
  }
}

/** All servers of the service are cold, so requests wait for permits. */
export const allCold = warmupPolicy(false)

/** Warm servers take the requests that have no permit. */
export const oneCold = warmupPolicy(true)
