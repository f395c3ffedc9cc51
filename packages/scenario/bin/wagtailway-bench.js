#!/usr/bin/env node
import { run } from '../dist/bench/cli.js'

await run()
