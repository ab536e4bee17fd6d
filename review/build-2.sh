#!/bin/sh
# Builds the stand-ins that the scripts in review/6 to review/10 start, and
# those of the project that they use. Run it after the build of the deploy
# file.
cd "$(dirname "$0")/.." || exit 2
python3 -m compileall -q review/standins2 src/lentilrun/standins || exit 2
PYTHONPATH=target/deps:src:review/standins2 exec python3 -c \
    'import backend, enginebackend, fleet, messages'
