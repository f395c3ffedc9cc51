/** The part that exchanges membership, configuration and instances with the others. */
import {
  ExchangeNode,
  InstanceHolder,
  monotonicClock,
  type MemberIdentity,
  type Random,
} from '@wagtailway/core'
import { instanceSchema, type Instance } from '@wagtailway/platform'
import type { ResolvedRouterOptions } from '../options.js'

/** Creates the exchanging part of one entry instance. */
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
    entryInstancesOf: entriesOf,
    seeds: cfg.seeds,
  })
}

/** The entry instances of a list; their ids are the nodes' names. */
export function entriesOf(
  instances: readonly Instance[],
): { node: string; address: string }[] {
  return instances
    .filter(({ role }) => role === 'entry')
    .map(({ id, address }) => ({ node: id, address }))
}
