#!/bin/bash
# The cases 6 and 8 to 10 start only programs of review/common-2/, which need no build.
set -euo pipefail
cd "$(dirname "$0")/.."
test -f target/wagtailway-gateway.mjs || {
  echo 'run the build of deploy/system.toml first' >&2
  exit 1
}
for file in review/common-2/*.mjs; do node --check "$file"; done
