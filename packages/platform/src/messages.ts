/** Bodies of the platform's HTTP API. */
import { z } from 'zod'

export const objectSchema = z.object({
  kind: z.enum([
    'declaration',
    'config',
    'claim',
    'session',
    'billing',
    'status',
    'lease',
  ]),
  name: z.string(),
  revision: z.number(),
  value: z.unknown(),
})

export const objectListSchema = z.object({
  revision: z.number(),
  objects: z.array(objectSchema),
})

export const conflictSchema = z.object({ revision: z.number() })

export const instanceSchema = z.object({
  id: z.string(),
  role: z.enum(['entry', 'engine', 'service']),
  /** `host:port`; for an entry instance that of its peer service. */
  address: z.string(),
  zone: z.string(),
  region: z.string().default('r1'),
  state: z.enum(['live', 'leaving']).default('live'),
  /** What a model engine serves, as `model@version`. */
  versions: z.array(z.string()).default([]),
  /** Name of the plain service that a service instance serves. */
  service: z.string().optional(),
})

export const instanceListSchema = z.object({ instances: z.array(instanceSchema) })

export type Instance = z.infer<typeof instanceSchema>
