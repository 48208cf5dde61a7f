#!/usr/bin/env bash
# Exits with 1 if the rule is broken, 0 if it holds, 2 if the case can't run. TROUBLE=0: no disruption.
cd "$(dirname "$0")" || exit 2
export PYTHONPATH=../../target/deps PYTHONDONTWRITEBYTECODE=1
python3 -c "import aiohttp" || exit 2
exec python3 case.py
