#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start, after the build of the deploy file: the optional parts of
# the program that they switch on need the extra `waiting` of pyproject.toml, and the stand-ins are compiled.
set -eu
cd "$(dirname "$0")/.."
python=.venv/bin/python
if ! $python -c 'import msgspec, sortedcontainers' 2>/dev/null; then
    $python -c '
import tomllib
extras = tomllib.load(open("pyproject.toml", "rb"))["project"]["optional-dependencies"]
print("\n".join(extras["waiting"]))' | xargs .venv/bin/pip -q install ||
        echo "the extra 'waiting' is missing: cases 6, 7 and 10 will exit with 2" >&2
fi
$python -m compileall -q review/stand_ins_2.py review/6 review/7 review/8 review/9 review/10
