#!/usr/bin/env node
import { runService } from '../dist/cli.js'

await runService()
