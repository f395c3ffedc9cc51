#!/usr/bin/env node
import { run } from '../dist/throwFaults/cli.js'

await run()
