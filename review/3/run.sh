#!/bin/sh
# Plays case 3. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python || { echo "build first: the command build of deploy/balancer.toml" >&2; exit 2; }
exec timeout -k 3 116 .venv/bin/python review/3/case.py
