#!/bin/sh
# Sets the project up and runs the tests; arguments go to behave.
. "$(dirname "$0")/environment.sh" requirements-dev.txt
exec .venv/bin/behave --format progress --no-capture "$@"
