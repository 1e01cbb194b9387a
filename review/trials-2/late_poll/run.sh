#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../../.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:review \
    exec python3 "$here/play.py"
