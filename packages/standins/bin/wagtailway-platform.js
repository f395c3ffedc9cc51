#!/usr/bin/env node
import { runPlatform } from '../dist/cli.js'

await runPlatform()
