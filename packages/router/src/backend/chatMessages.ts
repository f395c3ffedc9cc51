/** Schemas of the chat completions API, limited to the fields that the router reads. */
import { z } from 'zod'

/** A caller's request; all other fields pass through unchanged. */
export const chatRequestSchema = z.looseObject({
  model: z.string().min(1).max(200),
  messages: z.array(z.looseObject({ role: z.string() })).min(1),
  stream: z
    .boolean()
    .nullish()
    .transform((stream) => stream ?? undefined),
  stream_options: z.looseObject({ include_usage: z.boolean().optional() }).nullish(),
})

export const usageSchema = z.looseObject({
  prompt_tokens: z.number().int().nonnegative(),
  completion_tokens: z.number().int().nonnegative(),
})

export const completionSchema = z.looseObject({
  choices: z
    .array(z.looseObject({ message: z.looseObject({ content: z.string().nullish() }) }))
    .min(1),
  usage: usageSchema,
})

/** A chunk of a stream; the one with the usage may have no choices. */
export const chunkSchema = z.looseObject({
  choices: z.array(z.looseObject({ finish_reason: z.string().nullish() })),
  usage: usageSchema.nullish(),
})

export type ChatRequest = z.infer<typeof chatRequestSchema>
export type Usage = z.infer<typeof usageSchema>
export type Completion = z.infer<typeof completionSchema>
export type Chunk = z.infer<typeof chunkSchema>
