"""The operator file: all errors are reported at once, each with its key, and without the file none of the
libraries that it needs is imported.
"""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest
from exchange_player import ROOT, SETTINGS, SchedulerProcess

from oxbowyard.configuration.files import MAX_FILE_BYTES
from oxbowyard.decision.platform_settings import parse_settings
from oxbowyard.operator.file import OperatorFileError, load
from oxbowyard.waiting.settings import WaitingSettings

CLASSES = parse_settings(SETTINGS).classes
FUNCTION = "[gearman]\nlisten = 'h:1'\n[gearman.functions.f]\nclass = 'preview'\n"


def load_errors(folder: Path, text: str) -> list[str]:
    """Load a file of this text and return its errors."""
    path = folder / "operator.toml"
    path.write_text(text)
    try:
        load(path, CLASSES)
    except OperatorFileError as error:
        return list(error.errors)
    return []


def test_the_deployed_operator_file_is_valid_and_shows_the_defaults() -> None:
    found = load(ROOT / "deploy/operator.toml", CLASSES)
    assert found.waiting is not None and found.gearman is not None
    assert found.waiting.for_class("gearman:render_preview").queueing
    assert not found.waiting.for_class("gearman:file_specimen").queueing
    defaults = WaitingSettings(classes=found.waiting.classes)
    assert found.waiting == defaults, "the deployed file shows the defaults"


def test_all_errors_of_a_file_are_reported_at_once_each_with_its_key(tmp_path: Path) -> None:
    faults = load_errors(tmp_path, """
        colour = "red"
        [waiting]
        max_jobs = -1
        aged_per_s = 0
        age_limit_s = "long"
        [waiting.classes.preview]
        quie = true
        queueing = "yes"
        [gearman]
        max_queue = "x"
        [gearman.functions.render]
        worth = 1.0
    """)  # fmt: skip
    assert {fault.partition(":")[0] for fault in faults} == {
        "colour", "waiting.max_jobs", "waiting.aged_per_s", "waiting.age_limit_s",
        "waiting.classes.preview.quie", "waiting.classes.preview.queueing", "gearman.listen",
        "gearman.max_queue", "gearman.functions.render.class",
    }  # fmt: skip


@pytest.mark.parametrize(
    ("text", "named"),
    [
        ("[waiting]\nquiet_limit_s = 1.0", "waiting: quiet_limit_s must not be under age_limit_s"),
        ("[waiting.classes.nobody]", "waiting.classes.nobody: no such class here"),
        ("[gearman]\nlisten = 'x'", "gearman.listen is not an address"),
        (FUNCTION + "queueing = true", "gearman.functions.f.queueing: needs the table"),
        ("[waiting]\n" + FUNCTION + "patience_s = 1e6", "gearman.functions.f.patience_s: over"),
        ("waiting = 3", "waiting: Expected"),
        ("[durable]\npath = 'jobs.db'", "durable: needs the table [waiting]"),
        ("[waiting]\n[durable]", "durable.path: missing"),
        ("[waiting]\n[durable]\npath = 'x'\nmax_store_bytes = 5", "durable.max_store_bytes: Expected"),
        ("[membership]", "membership.listen: missing"),
        ("[membership]\nlisten = 'here'", "membership.listen: Expected"),
        ("[membership]\nlisten = '127.0.0.1:0'", "membership: listen needs a port"),
        ("[membership]\nlisten = 'host:7'", "membership: listen must be an IPv4 address"),
        ("[membership]\nlisten = '0.0.0.0:7946'", "membership: advertise must say where"),
        ("[membership]\nlisten = '127.0.0.1:7'\nanswer_within_s = 0.5", "membership: answer_within_s must"),
        ("[membership]\nlisten = '127.0.0.1:7'\nsplit_s = 5.0", "membership: split_s must not be"),
        ("[membership]\nlisten = '127.0.0.1:7'\nmax_members = 1", "membership.max_members: Expected"),
        ("[membership]\nlisten = '127.0.0.1:7'\nseeds = ['x']", "membership.seeds: Expected"),
        ("[start]\nfresh_s = 10.0\nmax_age_s = 5.0", "start: fresh_s must not be over max_age_s"),
        ("[start]\nfew = 0", "start.few: Expected"),
        ("= 1", "line 1"),
        ("#" * (MAX_FILE_BYTES + 1), "over 1048576 bytes"),
    ],
)  # fmt: skip
def test_invalid_values_are_reported_with_their_key(text: str, named: str, tmp_path: Path) -> None:
    (fault,) = load_errors(tmp_path, text)
    assert named in fault


def test_a_missing_operator_file_is_an_error(tmp_path: Path) -> None:
    with pytest.raises(OperatorFileError, match="No such file"):
        load(tmp_path / "none.toml", CLASSES)


def make_config(folder: Path) -> dict[str, object]:
    document: dict[str, object] = json.loads((ROOT / "examples/config.json").read_text())
    return document | {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1"}


def test_the_program_does_not_start_with_an_invalid_operator_file(tmp_path: Path) -> None:
    path = tmp_path / "operator.toml"
    path.write_text("[waiting]\nmax_jobs = 0\nmax_depth = 0")
    program = SchedulerProcess(make_config(tmp_path), tmp_path, ["--operator", str(path)])
    try:
        found = program.wait_for("^oxbowyard: (.*)")[1]
        assert "waiting.max_jobs" in found and "waiting.max_depth" in found
        assert program.process.wait(10) == 1
    finally:
        program.end()


def test_sighup_reports_a_changed_table_and_keeps_the_loaded_settings(tmp_path: Path) -> None:
    path = tmp_path / "operator.toml"
    path.write_text("[waiting]\n")
    program = SchedulerProcess(make_config(tmp_path), tmp_path, ["--operator", str(path)])
    try:
        program.wait_for("http listens")
        path.write_text("[waiting]\nmax_jobs = 7")
        program.process.send_signal(1)
        program.wait_for("restart required for: waiting")
        path.write_text("[waiting]\nmax_jobs = 'x'")
        program.process.send_signal(1)
        program.wait_for("the one in force stays: error=operator.toml: waiting.max_jobs")
    finally:
        program.end()


def test_without_an_operator_file_none_of_its_libraries_is_imported() -> None:
    code = "import sys, oxbowyard.__main__; print(*sys.modules)"
    output = subprocess.run([sys.executable, "-c", code], cwd=ROOT, stdout=subprocess.PIPE, text=True).stdout
    loaded = {name.partition(".")[0] for name in output.split()}
    assert "aiohttp" in loaded
    assert not loaded & {"msgspec", "sortedcontainers", "hypothesis", "typer", "pydantic"}
    for name in (
        "waiting.policy", "waiting.job_queue", "store", "durable", "operator",
        "clients.job_routes", "clients.job_parsing", "clients.job_documents",
        "cli", "configuration", "membership", "peers", "start",
    ):  # fmt: skip
        assert f"oxbowyard.{name}" not in output.split()
    assert "sqlite3" not in loaded
