# Creates the virtual environment in .venv, and updates it when the lock file
# has changed. Scripts source this after setting lock to a lock file's name.
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
