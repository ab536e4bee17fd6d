#!/bin/sh
# Builds the stand-ins of the cases 11 to 15, after the build of the deploy
# file. They are Python programs, the project's own ones included, so that
# this compiles them and checks that their libraries are there.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q src/lentilrun soak review/standins3 \
    review/11 review/12 review/13 review/14 review/15
PYTHONPATH="$PWD/target/deps:$PWD/src:$PWD" python3 -c '
import review.standins3.client
import review.standins3.copyreplica
import review.standins3.endlessengine
import review.standins3.fleet
import review.standins3.splitreplica
import review.standins3.tricklers
import review.standins3.uploaders
import soak.proxy
'
