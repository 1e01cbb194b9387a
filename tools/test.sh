#!/bin/sh
# Sets the project up and runs the tests; arguments go to behave.
lock=requirements-dev.txt
. "$(dirname "$0")/environment.sh"
exec .venv/bin/behave --format progress --no-capture "$@"
