#!/usr/bin/env bash
# Builds the stand-ins that the scripts start; the gateway is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
npx tsc -b packages/standins
