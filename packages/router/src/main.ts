/** Entry point; handles signals and errors before the rest is loaded. */
import { ProcessLife } from '@wagtailway/core/process'

const life = ProcessLife.create()
await life.run(async () => {
  const { run } = await import('./cli.js')
  await run(life)
})
