#!/usr/bin/env bash
# Builds what the scripts of the third review start, beside the deploy file's
# build: stand-ins in Python, which run in the scripts' own process. Nothing
# is compiled; this only finds out whether all of it can be imported.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH=.:target/deps python3 -c 'import review.parts_3
import standins.platform_engine, standins.platform_store'
