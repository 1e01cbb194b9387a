#!/bin/sh
# The stand-ins are Python and need no build; this checks that they compile
# and that the build of the deploy file has put the libraries in place.
cd "$(dirname "$0")/.." || exit 1
for file in review/standins.py review/[1-5]/case.py review/trials/*.py; do
    PYTHONPATH=target/deps python3 -c \
        'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' \
        "$file" || exit 1
done
PYTHONPATH=target/deps python3 -c 'import aiohttp'
