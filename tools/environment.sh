# Creates the project's environment in .venv, and again when the locked
# versions change. Sourced by the other scripts with the lock file as argument.
set -eu
cd "$(git rev-parse --show-toplevel 2>/dev/null || dirname "$(dirname "$0")")"
lock=$1
stamp=.venv/$(basename "$lock").stamp
if ! cmp -s "$lock" "$stamp"; then
    python3 -m venv .venv
    .venv/bin/python -m pip install --quiet --disable-pip-version-check \
        -r "$lock"
    .venv/bin/python -m pip install --quiet --disable-pip-version-check \
        --no-deps --no-build-isolation -e .
    cp "$lock" "$stamp"
fi
