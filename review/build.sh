#!/bin/sh
# Builds the stand-ins that the scripts start; they need no packages.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins
for case in */case.py; do
    python3 -m py_compile "$case"
done
