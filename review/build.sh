#!/usr/bin/env bash
# Checks that the stand-ins of the cases and their libraries load; Python needs
# no other build.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=.:target/deps \
  python3 -c 'import review.parts'
