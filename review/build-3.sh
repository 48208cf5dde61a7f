#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They are Python modules beside the project's own
# libraries in target/deps, so this only checks that they can be compiled and imported.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -c 'import aiohttp, msgspec'
for case in 11 12 13 14 15; do
    if [ -f "review/$case/case.py" ]; then
        python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "review/$case/case.py"
    fi
done
PYTHONPATH=target/deps:review python3 -c 'import world_3'
