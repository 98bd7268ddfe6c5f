"""Invalid numbers in configuration: each is reported as a configuration error, and none becomes infinite."""

from __future__ import annotations

import json
import math
import tomllib
from collections.abc import Iterator
from dataclasses import fields, is_dataclass
from pathlib import Path
from typing import Any

import msgspec
import pytest
from exchange_player import ROOT, SETTINGS
from hypothesis import given
from hypothesis import strategies as st
from test_job_queue import FREE, ONCE
from typer.testing import CliRunner

from oxbowyard.cli.app import app
from oxbowyard.daemon.config import ConfigurationError, load
from oxbowyard.decision.platform_settings import parse_settings
from oxbowyard.gearman.config import GearmanConfig
from oxbowyard.gearman.config import parse as parse_gearman
from oxbowyard.gearman.jobs import Jobs
from oxbowyard.gearman.text_commands import INCOMPLETE_ARGUMENTS, OK, TextCommands
from oxbowyard.operator.file import OperatorFileError
from oxbowyard.operator.file import load as load_operator
from oxbowyard.peers.facts import shown_facts

CLASSES = parse_settings(SETTINGS).classes
BAD_VALUES: tuple[Any, ...] = (
    math.nan,
    math.inf,
    -math.inf,
    -1,
    0,
    0.5,
    1e300,
    True,
    "x",
    "nan",
    [],
    {},
    None,
)
NUMBERS = st.one_of(st.floats(), st.integers(-(10**400), 10**400), st.booleans())


def scalar_paths(value: object, path: tuple[str | int, ...] = ()) -> Iterator[tuple[str | int, ...]]:
    """Yield the paths of all scalars in a document."""
    if isinstance(value, dict):
        for key, item in value.items():
            yield from scalar_paths(item, (*path, key))
    elif isinstance(value, list):
        for index, item in enumerate(value):
            yield from scalar_paths(item, (*path, index))
    else:
        yield path


def replace_at(document: Any, path: tuple[str | int, ...], value: object) -> Any:
    """Return a copy with another value at one path."""
    copy = json.loads(json.dumps(document))
    target = copy
    for key in path[:-1]:
        target = target[key]
    target[path[-1]] = value
    return copy


def encode_toml(table: dict[str, Any]) -> str:
    """Return a TOML document of scalars, lists and inline tables."""

    def encode(value: object) -> str:
        if isinstance(value, dict):
            return "{" + ", ".join(f"{json.dumps(k)} = {encode(v)}" for k, v in value.items()) + "}"
        if isinstance(value, float) and not math.isfinite(value):
            return {math.inf: "inf", -math.inf: "-inf"}.get(value, "nan")
        return json.dumps(value)

    return "".join(f"{json.dumps(key)} = {encode(value)}\n" for key, value in table.items())


def iter_floats(value: object) -> Iterator[float]:
    """Yield every float inside a configuration."""
    if isinstance(value, float):
        yield value
    elif isinstance(value, msgspec.Struct):
        for name in value.__struct_fields__:
            yield from iter_floats(getattr(value, name))
    elif is_dataclass(value) and not isinstance(value, type):
        for field in fields(value):
            yield from iter_floats(getattr(value, field.name))
    elif isinstance(value, dict):
        for item in value.values():
            yield from iter_floats(item)
    elif isinstance(value, (list, tuple)):
        for item in value:
            yield from iter_floats(item)


OPERATOR: dict[str, Any] = tomllib.loads((ROOT / "deploy/operator.toml").read_text()) | {
    "durable": {"path": "jobs.db", "max_store_bytes": 1 << 30, "keep_answers_s": 86400.0, "lease_s": 30.0},
    "membership": {"listen": "127.0.0.1:7946", "period_s": 0.5, "answer_within_s": 0.2, "forget_s": 600.0,
                   "stream_within_s": 3.0, "doubt_s": 60.0, "split_s": 600.0},
    "start": {"path": "list.json", "max_age_s": 86400.0, "fresh_s": 60.0, "keep_every_s": 5.0, "turn_s": 2.0},
}  # fmt: skip


@pytest.mark.parametrize("value", [v for v in BAD_VALUES if v is not None], ids=repr)
def test_bad_value_in_the_operator_file_is_rejected_or_finite(value: object, tmp_path: Path) -> None:
    # Guards against NaN, which passes every bound check, and against exceptions other than OperatorFileError.
    path = tmp_path / "operator.toml"
    for path_in_file in scalar_paths(OPERATOR):
        path.write_text(encode_toml(replace_at(OPERATOR, path_in_file, value)))
        try:
            config = load_operator(path, CLASSES)
        except OperatorFileError:
            continue
        assert all(math.isfinite(number) for number in iter_floats(config)), path_in_file


@pytest.mark.parametrize("value", BAD_VALUES, ids=repr)
def test_bad_value_in_the_platform_file_is_rejected_or_finite(value: object, tmp_path: Path) -> None:
    document = json.loads((ROOT / "examples/config.json").read_text())
    path = tmp_path / "config.json"
    for path_in_file in scalar_paths(document):
        path.write_text(json.dumps(replace_at(document, path_in_file, value)))
        try:
            config = load({"LB_CONFIG": str(path)})
        except ConfigurationError:
            continue
        allowed = {"max_poll_interval_ms"}  # infinite when discovery is not polled
        numbers = [n for f in fields(config.settings) if f.name not in allowed
                   for n in iter_floats(getattr(config.settings, f.name))]  # fmt: skip
        assert all(math.isfinite(number) for number in (*numbers, config.memory_mb)), path_in_file


@pytest.mark.parametrize(
    "document",
    [
        {"settings": "x"},
        {"settings": 1},
        {"settings": ["lanes"]},
        {"settings": {"lanes": "x"}},
        {"settings": {"lanes": [1]}},
    ],
)
def test_check_command_reports_settings_that_are_not_a_table(document: object, tmp_path: Path) -> None:
    # Guards against a command that ends in a traceback.
    path = tmp_path / "config.json"
    path.write_text(json.dumps(document))
    result = CliRunner().invoke(app, ["check", str(path)])
    assert result.exit_code == 2 and "settings" in result.output and result.exception.__class__ is SystemExit


def gearman_document(**values: object) -> dict[str, Any]:
    function = {"class": "free"} | {
        k: v for k, v in values.items() if k in ("worth", "deadline_ms", "patience_s")
    }
    limits = {key: value for key, value in values.items() if key not in function}
    return {"listen": "127.0.0.1:0", "functions": {"f": function}, **limits}


GEARMAN_KEYS = (
    "max_packet_bytes", "max_connections", "max_buffered_bytes", "packet_within_s", "max_queue",
    "max_held_bytes", "worth", "deadline_ms", "patience_s",
)  # fmt: skip


@given(key=st.sampled_from(GEARMAN_KEYS), value=NUMBERS)
def test_number_in_the_gearman_table_is_rejected_or_applied_as_given(key: str, value: object) -> None:
    # Guards against NaN, which passes a check for `<= 0`, and against 0.5, which becomes 0: no limit.
    try:
        config = parse_gearman(gearman_document(**{key: value}), (FREE, ONCE))
    except ValueError:
        return
    assert all(math.isfinite(number) for number in iter_floats(config))
    assert config.max_queue >= 1 and config.max_connections >= 1 and config.max_packet_bytes >= 1
    assert config.functions["f"].deadline_s > 0


@given(st.dictionaries(st.sampled_from(["state", "held", "slots", "major", "minor", "new"]), st.floats()))
def test_peer_facts_with_invalid_numbers_are_shown_finite(facts: dict[str, float]) -> None:
    # Guards against a peer's NaN that makes the members view of the admin API raise.
    shown = shown_facts(facts)
    assert all(math.isfinite(value) for value in shown.values() if isinstance(value, float))


def test_maxqueue_command_accepts_an_integer_or_reports_incomplete_arguments() -> None:
    config: GearmanConfig = parse_gearman(gearman_document(), (FREE, ONCE))
    commands = TextCommands(config, Jobs.__new__(Jobs), None)  # type: ignore[arg-type]

    class Limits:
        def set_max_waiting(self, function: str, number: int) -> None:
            assert isinstance(number, int)

    commands._jobs.limits = Limits()  # type: ignore[assignment]
    for text in ("5", "-5", "0"):
        assert commands.answer(f"maxqueue f {text}") == OK
    for text in ("--5", "-", "5-", "1e3", "nan", "9" * 5000, "0x1"):  # `--5` was an internal error
        assert commands.answer(f"maxqueue f {text}") == INCOMPLETE_ARGUMENTS
