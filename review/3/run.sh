#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
root=$(cd "$(dirname "$0")/../.." && pwd) || exit 2
test -x "$root/.venv/bin/python" || exit 2
cd "$root" && PYTHONPATH="$root" exec .venv/bin/python -B review/3/play.py
