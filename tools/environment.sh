# Creates the project's environment in .venv, and again when the locked
# versions change. Sourced by scripts that set lock to a lock file's name.
set -eu
cd "$(dirname "$0")/.."
stamp=.venv/$lock.stamp
if ! cmp -s "$lock" "$stamp"; then
    python3 -m venv .venv
    .venv/bin/python -m pip install --quiet --disable-pip-version-check \
        -r "$lock"
    .venv/bin/python -m pip install --quiet --disable-pip-version-check \
        --no-deps -e .
    cp "$lock" "$stamp"
fi
