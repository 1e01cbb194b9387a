#!/bin/sh
# Builds the stand-ins of review/6 to review/10 and review/trials-2: they are Python, and use the
# libraries that the build of deploy/system.toml puts into target/deps.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -c 'import aiohttp'
python3 -m py_compile review/standins_2.py
for play in review/[6-9]/play.py review/10/play.py review/trials-2/*/play.py; do
    [ ! -f "$play" ] || python3 -m py_compile "$play"
done
