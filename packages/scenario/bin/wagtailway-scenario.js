#!/usr/bin/env node
import { run } from '../dist/scenario/cli.js'

await run()
