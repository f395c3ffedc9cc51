#!/usr/bin/env node
import { run } from '../dist/experiment/cli.js'

await run()
