#!/usr/bin/env node
import { run } from '../dist/load/cli.js'

await run()
