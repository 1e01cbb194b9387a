#!/bin/sh
# Creates the environment if needed and runs the features named by the
# arguments, or all.
lock=requirements-dev.txt
. "$(dirname "$0")/environment.sh"
exec .venv/bin/python tools/run_features.py "$@"
