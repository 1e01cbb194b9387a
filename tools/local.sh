#!/bin/sh
# Sets the project up and starts the whole system on this machine.
. "$(dirname "$0")/environment.sh" requirements.txt
exec .venv/bin/greengagering-local run "$@"
