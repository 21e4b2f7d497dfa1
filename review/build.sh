#!/usr/bin/env bash
# The stand-ins are scripts of the standard library; this checks that they
# can be read by the Python that runs them. Nothing is installed.
set -euo pipefail
cd "$(dirname "$0")"
for script in standins.py */*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$script"
done
