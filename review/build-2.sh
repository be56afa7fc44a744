#!/bin/sh
# Builds the stand-ins of cases 6 to 10: they are Python files without dependencies, so they are only checked here.
# Needs the environment that the build of the deploy file leaves in .venv, and no network.
set -eu
folder=$(cd "$(dirname "$0")" && pwd)
python="$folder/../.venv/bin/python"
[ -x "$python" ] || { echo "no .venv: run the build of the deploy file first" >&2; exit 2; }
for file in "$folder"/stand-ins-2/*.py "$folder"/[0-9]*/case.py; do
    [ -e "$file" ] || continue
    "$python" -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
PYTHONPATH="$folder/stand-ins-2" "$python" -B -c 'import world'
