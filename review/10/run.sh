#!/bin/sh
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run. TROUBLE=0: no disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
python="$folder/../../.venv/bin/python"
[ -x "$python" ] || { echo "cannot run: no .venv; run the build of the deploy file" >&2; exit 2; }
exec env PYTHONPATH="$folder/../stand-ins-2" "$python" -B "$folder/case.py" "$folder"
