"""An invalid configuration ends the start with one line on stderr and a non-zero exit code."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path
from random import Random
from typing import Any

import pytest
from exchange_player import ROOT, SETTINGS

from oxbowyard.daemon.config import ConfigurationError, load
from oxbowyard.discovery.poll_schedule import PollSchedule

VALID_CONFIG: dict[str, Any] = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "settings": SETTINGS}


def run_program(config: str | None, folder: Path, *options: str) -> subprocess.CompletedProcess[str]:
    env = {k: v for k, v in os.environ.items() if not k.startswith("LB_")}
    if config is not None:
        (folder / "config.json").write_text(config)
        env["LB_CONFIG"] = str(folder / "config.json")
    command = [sys.executable, "-m", "oxbowyard", *options]
    return subprocess.run(command, cwd=ROOT, env=env, capture_output=True, text=True, timeout=20)


@pytest.mark.parametrize(
    "config",
    [
        None,
        "{",
        "[]",
        "{}",
        json.dumps(VALID_CONFIG | {"listen": "here"}),
        json.dumps(VALID_CONFIG | {"discovery": ""}),
        json.dumps(VALID_CONFIG | {"seed": "xyz"}),
        json.dumps(VALID_CONFIG | {"settings": {**SETTINGS, "lanes": []}}),
        json.dumps(VALID_CONFIG | {"settings": {k: v for k, v in SETTINGS.items() if k != "rules"}}),
        json.dumps(VALID_CONFIG | {"listen": "192.0.2.1:1"}),  # not an address of this machine
    ],
)
def test_an_invalid_configuration_exits_with_one_line_on_stderr(config: str | None, tmp_path: Path) -> None:
    result = run_program(config, tmp_path)
    assert result.returncode != 0 and result.stderr.count("\n") == 1, result.stderr
    assert result.stderr.startswith("oxbowyard: ")


@pytest.mark.parametrize(
    "text",
    [
        "listen =",
        'listen = "here"',
        'listen = "127.0.0.1:0"\nmax_queue = 0',
        'listen = "127.0.0.1:0"\n[functions.f]\nclass = "nothing"',
        'listen = "127.0.0.1:0"\n[functions.f]\nclass = "preview"\nworth = -1',
    ],
)
def test_an_invalid_gearman_file_exits_with_one_line_on_stderr(text: str, tmp_path: Path) -> None:
    (tmp_path / "gearman.toml").write_text(text)
    result = run_program(json.dumps(VALID_CONFIG), tmp_path, "--gearman", str(tmp_path / "gearman.toml"))
    assert result.returncode != 0 and result.stderr.count("\n") == 1, result.stderr
    assert result.stderr.startswith("oxbowyard: ")


@pytest.mark.parametrize("name", ["config.json", "config_asked.json"])
def test_the_sample_configurations_load(name: str) -> None:
    config = load({"LB_CONFIG": str(ROOT / "examples" / name)})
    assert config.settings.weight_is_per_work and config.settings.must_subscribe is (
        name == "config_asked.json"
    )


def test_a_lost_watch_times_out_before_its_changes_count_as_notified() -> None:
    """Guards against a watch of 8 s with a timeout of 2.5 s more: together they exceeded the 10 s after which
    a change counts as notified.
    """
    schedule = PollSchedule(True, 3, Random(1), 10_000.0)
    assert schedule.wait_ms + schedule.timeout_s(0.0, False) * 1000 < 10_000
    assert PollSchedule(True, 3, Random(1), 3_900.0).wait_ms == 900
    assert PollSchedule(False, 3, Random(1), 4_000.0).wait_ms == 2000  # an agent's list counts on arrival


NUMERIC_SETTINGS = [
    ("policyLimits", "connectTimeout"), ("policyLimits", "connIdle"), ("rules", "stopSendingWithin"),
    ("rules", "rampTime"), ("rules", "tipAfter"), ("rules", "coldFrom"), ("costs", "waste"),
]  # fmt: skip


@pytest.mark.parametrize(("table", "name"), NUMERIC_SETTINGS)
@pytest.mark.parametrize("value", ["soon", [1], -1, True, None, "absent"])
def test_a_setting_of_the_wrong_type_is_named_and_a_missing_one_gets_its_default(
    table: str, name: str, value: object, tmp_path: Path
) -> None:
    """Guards against a text in place of a number that only fails later, at the start or at the first request,
    as an internal fault.
    """
    document = json.loads((ROOT / "examples" / "config.json").read_text())
    document["settings"].setdefault(table, {})[name] = value
    if value == "absent":
        del document["settings"][table][name]
    (tmp_path / "config.json").write_text(json.dumps(document))
    if value is None or value == "absent":
        load({"LB_CONFIG": str(tmp_path / "config.json")})
        return
    with pytest.raises(ConfigurationError, match=name):
        load({"LB_CONFIG": str(tmp_path / "config.json")})
