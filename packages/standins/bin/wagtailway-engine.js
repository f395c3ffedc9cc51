#!/usr/bin/env node
import { runEngine } from '../dist/cli.js'

await runEngine()
