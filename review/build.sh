#!/bin/sh
# Checks that the stand-ins of the scripts can be imported; they need no
# packages, and nothing is written beside them.
set -eu
cd "$(dirname "$0")/.."
python3 -B -c 'import review.deployment, review.traffic'
