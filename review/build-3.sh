#!/bin/bash
# Checks what the scripts of the third review start: stand-ins in Python, which
# need the libraries of the deploy file's build and nothing else.
cd "$(dirname "$0")/.." || exit 2
[ -d target/deps ] || { echo 'run the build of deploy/system.toml first' >&2; exit 2; }
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:review \
    python3 -c 'import standins_3'
