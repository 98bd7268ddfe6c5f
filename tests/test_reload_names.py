"""Settings that a reload reports as needing a restart."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from exchange_player import ROOT, SchedulerProcess


@pytest.mark.parametrize(
    ("change", "names"),
    [("attempts", "settings.policyLimits.maxAttempts"), ("classes", "settings.lanes"),
     ("both", "settings.lanes, settings.policyLimits.maxAttempts")],
)  # fmt: skip
def test_with_deferred_jobs_a_reload_names_each_setting_that_needs_a_restart(
    change: str, names: str, tmp_path: Path
) -> None:
    # Guards against a reload that ignores a changed setting without a log line.
    document = json.loads((ROOT / "examples/config.json").read_text())
    document |= {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1"}
    operator = tmp_path / "operator.toml"
    operator.write_text("[waiting]\n")
    program = SchedulerProcess(document, tmp_path, ["--operator", str(operator)])
    try:
        program.wait_for("http listens")
        if change in ("attempts", "both"):
            document["settings"]["policyLimits"]["maxAttempts"] = 2
        if change in ("classes", "both"):
            document["settings"]["lanes"][0]["deadline"] = 7000.0
        (tmp_path / "config.json").write_text(json.dumps(document))
        program.process.send_signal(1)
        program.wait_for(f"restart required for: {names}$")
    finally:
        program.end()
