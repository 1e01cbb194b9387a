#!/bin/sh
# Sets the project up and starts the whole system on this machine.
lock=requirements.txt
. "$(dirname "$0")/environment.sh"
exec .venv/bin/greengagering-local run "$@"
