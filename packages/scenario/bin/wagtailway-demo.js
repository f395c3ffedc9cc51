#!/usr/bin/env node
import { run } from '../dist/demo/cli.js'

await run()
