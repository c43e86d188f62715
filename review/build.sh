#!/usr/bin/env bash
# Builds every stand-in that a case starts. The stand-ins of review/lib are Python 3 programs of the standard library
# only, so there is nothing to compile; this script checks that they can be read by the interpreter that is there.
# The project's own programs are built by the `build` entry of deploy/balancer.toml.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
for file in lib/*.py [0-9]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
echo "stand-ins are ready"
