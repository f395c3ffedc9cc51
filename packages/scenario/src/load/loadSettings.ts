/** Settings of the load generator. */
import { settingsOf } from '@wagtailway/core'
import { z } from 'zod'

/** Prefix of the environment variables of the settings. */
export const LOAD_PREFIX = 'WAGTAILWAY_LOAD'

export const loadSchema = z.object({
  target: z
    .string()
    .regex(/^[\w.]+:\d+$/, 'give an address such as 127.0.0.1:8080')
    .describe('Address of a router or engine'),
  key: z.string().min(1).default('none').describe('API key of the workspace'),
  class: z.string().min(1).describe('Class of work, sent as the model'),
  rate: z.number().positive().default(10).describe('Mean requests a second'),
  requests: z.number().int().positive().default(100).describe('Requests in all'),
  stream: z.boolean().default(false).describe('Ask for streamed answers'),
  prompt: z.string().min(1).default('load').describe('Start of every prompt'),
  seed: z.number().int().default(1).describe('Seed of the times between requests'),
})

/** All settings in the order of their declaration. */
export const LOAD_SETTINGS = settingsOf(loadSchema, LOAD_PREFIX)
