#!/usr/bin/env bash
# Checks that what review/world_2.py and the cases 6 to 9 need is there. Their stand-ins are Python
# and use only the libraries of the deploy file's build, so there is nothing to compile.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/.." || exit 2
if [ ! -d target/deps ]; then
    echo "target/deps is missing; it comes from the build of the deploy file" >&2
    exit 2
fi
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:review exec python3 -c "import world_2"
