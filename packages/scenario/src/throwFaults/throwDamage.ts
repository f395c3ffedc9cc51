/** Tells what callers lost beyond the exchange that a throw belongs to. */
import { isFailed, isLost, type LoadCall } from './throwLoad.js'

/** A throw at one gateway. */
export interface GatewayThrow {
  readonly gateway: string
  readonly place: string
  /** In milliseconds of `Date.now()`. */
  readonly atMs: number
}

/** A call that a throw must not have touched. */
export interface Damage {
  readonly call: LoadCall
  readonly type: 'lost' | 'failed'
  /** Throw that is the likely cause. */
  readonly cause: GatewayThrow | undefined
}

/** Time from a throw to its mark in the record and at the caller, in milliseconds. */
const MARGIN_MS = 100

/** Longest time from a throw to the damage that it did, in milliseconds. */
const MAX_CAUSE_MS = 15_000

/**
 * Each throw may end one exchange, so one call that was in progress; returns the other calls
 * that got no whole answer.
 *
 * @param isRelayed Whether a gateway's connections go through other ones, whose throws count
 *   as well then.
 *
 * @example
 * findDamage(calls, throws, (gateway) => gateway === 'n1') // [] if only exchanges ended
 */
export function findDamage(
  calls: readonly LoadCall[],
  throws: readonly GatewayThrow[],
  isRelayed: (gateway: string) => boolean,
): Damage[] {
  const concerns = (thrown: GatewayThrow, call: LoadCall): boolean =>
    thrown.gateway === call.gateway || isRelayed(call.gateway)
  const damaged = calls
    .filter((call) => isLost(call) || isFailed(call))
    .sort((a, b) => a.endedAtMs - b.endedAtMs)
  const excused = new Set<LoadCall>()
  for (const thrown of [...throws].sort((a, b) => a.atMs - b.atMs)) {
    const own = damaged.find(
      (call) =>
        !excused.has(call) && concerns(thrown, call) && isDuring(thrown.atMs, call),
    )
    if (own) excused.add(own)
  }
  return damaged
    .filter((call) => !excused.has(call))
    .map((call) => ({
      call,
      type: isLost(call) ? 'lost' : 'failed',
      cause: findCause(
        call,
        throws.filter((thrown) => concerns(thrown, call)),
      ),
    }))
}

function isDuring(atMs: number, { sentAtMs, endedAtMs }: LoadCall): boolean {
  return atMs >= sentAtMs - MARGIN_MS && atMs <= endedAtMs + MARGIN_MS
}

/** The first throw during the call, or else the last one before it. */
function findCause(
  call: LoadCall,
  throws: readonly GatewayThrow[],
): GatewayThrow | undefined {
  const own = throws.filter(({ gateway }) => gateway === call.gateway)
  const candidates = own.length > 0 ? own : throws
  return (
    candidates.find(({ atMs }) => isDuring(atMs, call)) ??
    candidates.findLast(
      ({ atMs }) => atMs <= call.sentAtMs && atMs >= call.sentAtMs - MAX_CAUSE_MS,
    )
  )
}
