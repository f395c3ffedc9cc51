#!/usr/bin/env node
import { run } from '../dist/soak/cli.js'

await run()
