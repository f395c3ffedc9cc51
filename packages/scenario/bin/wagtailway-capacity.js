#!/usr/bin/env node
import { run } from '../dist/capacity/cli.js'

await run()
