"""The `oxbowyard` command and the model of the configuration files: each fault with its key, the source of
each value, the schema, and the same verdict as the minimal loader that the platform's `run` uses.
"""

from __future__ import annotations

import copy
import json
import sys
from pathlib import Path
from typing import Any

import jsonschema
import pytest
from exchange_player import ROOT, SETTINGS
from typer.testing import CliRunner

import oxbowyard.cli
from oxbowyard.cli.app import app
from oxbowyard.configuration.check import check_platform
from oxbowyard.daemon.config import ConfigurationError, load

VALID_CONFIG: dict[str, Any] = {
    "listen": "127.0.0.1:8443", "discovery": "127.0.0.1:8500", "settings": SETTINGS,
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
}  # fmt: skip
runner = CliRunner()


def write_config(tmp_path: Path, document: object, name: str = "config.json") -> Path:
    path = tmp_path / name
    path.write_text(document if isinstance(document, str) else json.dumps(document))
    return path


def test_check_reports_all_ten_faults_of_a_file(tmp_path: Path) -> None:
    bad = copy.deepcopy(VALID_CONFIG)
    bad["listen"], bad["seed"], bad["limits"]["sockets"] = "here", "xyz", 0
    lanes = bad["settings"]["lanes"]
    lanes[0]["aim"], lanes[0]["worth"], lanes[1]["semantics"] = -1, "much", "once"
    del lanes[2]["deadline"]
    bad["settings"]["siblings"] = 0
    del bad["settings"]["policyLimits"]["maxAttempts"]
    bad["settings"]["rules"]["coldFrom"] = 2
    result = runner.invoke(app, ["check", str(write_config(tmp_path, bad))])
    assert result.exit_code == 2, result.output
    keys = [
        "listen", "seed", "limits.sockets", "settings.siblings", "settings.lanes[0].aim",
        "settings.lanes[0].worth", "settings.lanes[1].semantics", "settings.lanes[2].deadline",
        "settings.policyLimits.maxAttempts", "settings.rules.coldFrom",
    ]  # fmt: skip
    faults = [line for line in result.output.splitlines() if line.startswith("fault: ")]
    assert sorted(line.removeprefix("fault: ").partition(":")[0] for line in faults) == sorted(keys)
    assert result.output.splitlines()[-1].endswith("10 faults")


def test_an_unknown_key_is_reported_with_the_nearest_known_key(tmp_path: Path) -> None:
    bad = copy.deepcopy(VALID_CONFIG)
    bad["admni"] = "127.0.0.1:9100"
    bad["settings"]["policyLimits"]["maxAtempts"] = bad["settings"]["policyLimits"].pop("maxAttempts")
    result = runner.invoke(app, ["check", "--json", str(write_config(tmp_path, bad))])
    found = {row["key"]: row for row in json.loads(result.output)["found"]}
    assert "did you mean admin?" in found["admni"]["text"] and found["admni"]["note"]
    assert "did you mean maxAttempts?" in found["settings.policyLimits.maxAtempts"]["text"]
    assert found["settings.policyLimits.maxAttempts"]["text"] == "missing" and result.exit_code == 2


@pytest.mark.parametrize(
    ("text", "says"),
    [("", "is empty"), ('{"listen":', "Expecting"), ("[]", "is not a JSON object: found list")],
)
def test_check_rejects_a_file_that_is_not_a_json_object(tmp_path: Path, text: str, says: str) -> None:
    result = runner.invoke(app, ["check", str(write_config(tmp_path, text))])
    assert result.exit_code == 2 and says in result.output


def test_check_accepts_valid_files(tmp_path: Path) -> None:
    for path in (
        write_config(tmp_path, VALID_CONFIG),
        ROOT / "examples/config.json",
        ROOT / "deploy/operator.toml",
    ):
        result = runner.invoke(app, ["check", str(path)])
        assert result.exit_code == 0, result.output


def test_check_reports_an_unknown_key_of_the_operator_file(tmp_path: Path) -> None:
    text = (ROOT / "deploy/operator.toml").read_text().replace("max_jobs =", "max_job =", 1)
    result = runner.invoke(app, ["check", str(write_config(tmp_path, text, "operator.toml"))])
    assert result.exit_code == 2 and "waiting.max_job: no such key; did you mean max_jobs?" in result.output


def test_config_show_names_the_source_of_each_value(tmp_path: Path) -> None:
    document = {k: v for k, v in VALID_CONFIG.items() if k != "listen"}
    path = write_config(tmp_path, document)
    env = {"LB_LISTEN": "127.0.0.1:9000", "LB_CONFIG": str(path)}
    result = runner.invoke(app, ["config", "show", "--json"], env=env)
    assert result.exit_code == 0, result.output
    rows = {row["key"]: row for row in json.loads(result.output)}
    assert rows["listen"] == {"key": "listen", "value": "127.0.0.1:9000", "source": "environment LB_LISTEN"}
    assert rows["discovery"]["source"] == "file"
    assert rows["limits.sockets"]["source"] == "file" and rows["name"]["source"] == "default"
    assert rows["settings.policyLimits.maxAttempts"]["value"] == 3


def test_config_show_rejects_an_invalid_file(tmp_path: Path) -> None:
    result = runner.invoke(app, ["config", "show", "--config", str(write_config(tmp_path, {"settings": {}}))])
    assert result.exit_code == 2 and "oxbowyard check" in result.output


def test_the_schema_accepts_valid_and_rejects_invalid_configurations() -> None:
    result = runner.invoke(app, ["config", "schema"])
    schema = json.loads(result.output)
    jsonschema.validate(json.loads((ROOT / "examples/config.json").read_text()), schema)
    with pytest.raises(jsonschema.ValidationError):
        jsonschema.validate({**VALID_CONFIG, "listen": "here"}, schema)
    operator = json.loads(runner.invoke(app, ["config", "schema", "--operator"]).output)
    assert "waiting" in json.dumps(operator)


@pytest.mark.parametrize(
    ("option", "name"), [([], "schema-platform.json"), (["--operator"], "schema-operator.json")]
)
def test_the_printed_schemas_equal_the_stored_fixtures(option: list[str], name: str) -> None:
    """Compare byte for byte, including the docstrings of the models, which msgspec puts into the schemas. The
    fixtures are the output of `python -m oxbowyard.cli config schema [--operator]` at 52dd340.
    """
    result = runner.invoke(app, ["config", "schema", *option])
    assert result.output == (ROOT / "tests" / "fixtures" / name).read_text()


def test_the_version_command_prints_the_program_name() -> None:
    result = runner.invoke(app, ["version"])
    assert result.exit_code == 0 and result.output.startswith("oxbowyard ")


def test_without_the_cli_extra_the_command_exits_with_one_line(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setitem(sys.modules, "oxbowyard.cli.app", None)
    with pytest.raises(SystemExit) as ended:
        oxbowyard.cli.main()
    assert ended.value.code == 1 and "needs the extra cli" in capsys.readouterr().err


# ---- The same verdict of the model and of the minimal loader of `run` ----

MUTATIONS: list[tuple[str, object]] = [
    ("listen", "here"), ("listen", "127.0.0.1:99999"), ("discovery", 5), ("seed", "xyz"),
    ("limits.sockets", "many"), ("settings.siblings", 0), ("settings.siblings", "two"),
    ("settings.lanes", []), ("settings.lanes.0.aim", 0), ("settings.lanes.0.aim", "soon"),
    ("settings.lanes.0.deadline", -5), ("settings.lanes.0.deadline", True),
    ("settings.lanes.1.semantics", "once"),
    ("settings.lanes.1.group", "room"), ("settings.lanes.2.name", "-"), ("settings.policyLimits", "-"),
    ("settings.policyLimits.maxAttempts", 0), ("settings.policyLimits.maxAttempts", 2.5),
    ("settings.policyLimits.maxAttempts", "3"), ("settings.rules", "-"), ("settings.rules.coldFrom", 0),
    ("settings.rules.coldFrom", 1.5), ("settings.rules.tipAfter", 0), ("settings.rules.turnGap", -1),
    ("settings.lanes.1.name", "preview"), ("settings.lanes.0.worth", "much"),
]  # fmt: skip


def mutate(path: str, value: object) -> dict[str, Any]:
    document = copy.deepcopy(VALID_CONFIG)
    *inner, last = path.split(".")
    container: Any = document
    for part in inner:
        container = container[int(part) if part.isdecimal() else part]
    key: Any = int(last) if last.isdecimal() else last
    if value == "-":
        del container[key]
    else:
        container[key] = value
    return document


@pytest.mark.parametrize(("path", "value"), [("", None), *MUTATIONS], ids=lambda parameter: str(parameter))
def test_check_and_the_loader_of_run_reach_the_same_verdict(tmp_path: Path, path: str, value: object) -> None:
    document = mutate(path, value) if path else VALID_CONFIG
    is_faulty = any(not issue.is_note for issue in check_platform(document, {}))
    try:
        load({"LB_CONFIG": str(write_config(tmp_path, document))})
        is_rejected = False
    except ConfigurationError:
        is_rejected = True
    assert is_faulty == is_rejected == bool(path)
