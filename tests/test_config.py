"""A bad configuration is one line and a non-zero exit."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path
from random import Random
from typing import Any

import pytest
from player import ROOT, SETTINGS

from oxbowyard.daemon.config import ConfigurationError, load
from oxbowyard.discovery.poll_schedule import PollSchedule

GOOD: dict[str, Any] = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "settings": SETTINGS}


def start(config: str | None, folder: Path, *options: str) -> subprocess.CompletedProcess[str]:
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
        json.dumps(GOOD | {"listen": "here"}),
        json.dumps(GOOD | {"discovery": ""}),
        json.dumps(GOOD | {"seed": "xyz"}),
        json.dumps(GOOD | {"settings": {**SETTINGS, "lanes": []}}),
        json.dumps(GOOD | {"settings": {k: v for k, v in SETTINGS.items() if k != "rules"}}),
        json.dumps(GOOD | {"listen": "192.0.2.1:1"}),  # not an address of this machine
    ],
)
def test_an_invalid_configuration_exits_with_one_line_on_stderr(config: str | None, tmp_path: Path) -> None:
    done = start(config, tmp_path)
    assert done.returncode != 0 and done.stderr.count("\n") == 1, done.stderr
    assert done.stderr.startswith("oxbowyard: ")


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
    done = start(json.dumps(GOOD), tmp_path, "--gearman", str(tmp_path / "gearman.toml"))
    assert done.returncode != 0 and done.stderr.count("\n") == 1, done.stderr
    assert done.stderr.startswith("oxbowyard: ")


@pytest.mark.parametrize("name", ["config.json", "config_asked.json"])
def test_the_sample_configurations_load(name: str) -> None:
    config = load({"LB_CONFIG": str(ROOT / "examples" / name)})
    assert config.settings.weight_is_per_work and config.settings.must_subscribe is (
        name == "config_asked.json"
    )


def test_a_lost_watch_times_out_before_its_changes_count_as_notified() -> None:
    """Its 8 s and the 2.5 s past them were more than the 10 s after which all counts as told."""
    schedule = PollSchedule(True, 3, Random(1), 10_000.0)
    assert schedule.wait_ms + schedule.timeout_s(0.0, False) * 1000 < 10_000
    assert PollSchedule(True, 3, Random(1), 3_900.0).wait_ms == 900
    assert PollSchedule(False, 3, Random(1), 4_000.0).wait_ms == 2000  # an agent's list is told as it comes


FIGURES = [
    ("policyLimits", "connectTimeout"), ("policyLimits", "connIdle"), ("rules", "stopSendingWithin"),
    ("rules", "rampTime"), ("rules", "tipAfter"), ("rules", "coldFrom"), ("costs", "waste"),
]  # fmt: skip


@pytest.mark.parametrize(("table", "name"), FIGURES)
@pytest.mark.parametrize("value", ["soon", [1], -1, True, None, "absent"])
def test_a_setting_of_the_wrong_type_is_named_and_a_missing_one_gets_its_default(
    table: str, name: str, value: object, tmp_path: Path
) -> None:
    """A text for a figure used to be found by the first req, or by the start, as a fault of ours."""
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
