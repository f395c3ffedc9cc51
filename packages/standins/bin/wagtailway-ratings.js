#!/usr/bin/env node
import { runRatings } from '../dist/cli.js'

await runRatings()
