#!/bin/bash
# Builds what the cases start, after the build of deploy/balancer.toml: the stand-ins are Python and are only
# compiled. Cases with --operator need the project's own extra `waiting` (docs/operate/waiting.md), whose packages
# are installed from the registry where they are missing. No dependency is added.
set -euo pipefail
cd "$(dirname "$0")/.."
if ! .venv/bin/python -c 'import msgspec, sortedcontainers' 2>/dev/null; then
    mapfile -t extra < <(grep -E '^(msgspec|sortedcontainers)==' requirements-dev.txt)
    .venv/bin/pip -q install "${extra[@]}" || echo "the extra 'waiting' is missing: some cases will exit with 2" >&2
fi
.venv/bin/python -m compileall -q review oxbowyard
