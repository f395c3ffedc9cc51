#!/usr/bin/env node
import { run } from '../dist/hunt/cli.js'

await run()
