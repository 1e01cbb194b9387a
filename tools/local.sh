#!/bin/sh
# Creates the environment if needed and runs the whole system locally.
lock=requirements.txt
. "$(dirname "$0")/environment.sh"
exec .venv/bin/greengagering-local run "$@"
