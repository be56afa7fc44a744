#!/bin/sh
# Builds the stand-ins that the cases start: they are Python, so their byte code is compiled once. Needs the build line of
# the deploy file first, and no network.
root=$(cd "$(dirname "$0")/.." && pwd) || exit 2
cd "$root" && exec .venv/bin/python -m compileall -q review
