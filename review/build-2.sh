#!/bin/sh
# Builds what the scripts of cases 6 to 10 start beside the project's own
# processes: their stand-ins are Python, so they are only compiled to check
# that this machine can read them. No network is needed.
set -e
cd "$(dirname "$0")"
exec python3 -m compileall -q -f parts_2.py 6 7 8 9 10
