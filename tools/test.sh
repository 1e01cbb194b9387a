#!/bin/sh
# Sets the project up and runs the tests; arguments name features to run.
lock=requirements-dev.txt
. "$(dirname "$0")/environment.sh"
exec .venv/bin/python tools/run_features.py "$@"
