/** Creates the node that exchanges membership, configuration and the instance list with peers. */
import {
  ExchangeNode,
  InstanceHolder,
  monotonicClock,
  type MemberIdentity,
  type Random,
} from '@wagtailway/core'
import { instanceSchema, type Instance } from '@wagtailway/platform'
import type { ResolvedRouterOptions } from '../options.js'

/** Creates the exchange node of one entry instance. */
export function createExchangeNode(
  cfg: ResolvedRouterOptions,
  self: MemberIdentity,
  random: Random,
): ExchangeNode<Instance> {
  const clock = monotonicClock
  return ExchangeNode.create({
    self,
    clock,
    random,
    freshMs: cfg.configFreshMs,
    instances: InstanceHolder.create({
      clock,
      idOf: ({ id }) => id,
      parse: (json) => instanceSchema.parse(json),
      isDraining: ({ state }) => state === 'leaving',
    }),
    entryInstancesOf,
    seeds: cfg.seeds,
  })
}

/** Selects the entry instances of a list; the id of an instance is its node name. */
export function entryInstancesOf(
  instances: readonly Instance[],
): { node: string; address: string }[] {
  return instances
    .filter(({ role }) => role === 'entry')
    .map(({ id, address }) => ({ node: id, address }))
}
