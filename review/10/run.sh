#!/bin/sh
# see claim.txt
cd "$(dirname "$0")" && exec python3 play.py
