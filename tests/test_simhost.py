"""Tests of the simulator adapter: the lines it writes, and its handling of malformed input."""

from __future__ import annotations

import io
import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from oxbowyard import Dispatcher, simhost
from oxbowyard.decision.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    LogMessage,
    ProbeWorker,
    RejectRequest,
    SetTimer,
    StartAttempt,
    SubscribeEndpoints,
)
from oxbowyard.decision.platform_settings import parse_settings

ROOT = Path(__file__).parent.parent
FACTS: dict[str, Any] = {
    "siblings": 2,
    "discovery": "ask",
    "unheard": {"of": 1},
    "lanes": [
        {"name": "a", "aim": 400.0, "deadline": 5000.0, "semantics": "free", "worth": 2.0},
        {"name": "b", "aim": 600.0, "deadline": 9000.0, "semantics": "single_shot", "worth": 1.0},
    ],
    "familyInfo": {"classKind": [-1, 0], "tellsStart": True, "reportX0": "free slots"},
    "kinds": ["big"],
    "loadReport": {"names": ["waiting", "x0"], "via": "piggyback"},
    "policyLimits": {"maxAttempts": 3, "mayCancel": True, "maxRetryAfter": 900.0, "retryAfter": True},
    "rules": {"coldFrom": 0.2, "rampTime": 9000.0, "tipAfter": 1000.0, "tipMultiple": 3.0},
    "accounts": [{"name": "t", "quotaPerS": 5.0}],
}
BATCH: list[list[Any]] = [
    ["batch", 10.0],
    ["born", 0, 42, FACTS],
    ["inventory", 0, [["w1", "z", "big", 0, "Ready", 1, None], ["w2", "z", "big", 1, "Ready", 1, 3.0]]],
    ["membership", 0, "restored", 1, 0],
    ["submit", 0, "r1", "t", "a", None, False, False, 5000.0, 1, False, None, "0a"],
    ["memo", 0, 1, "AA=="],
    ["end"],
    ["batch", 20.0],
    ["notice", 0, "r1", 1, "w1", None, 0],
    ["outcome", 0, "r1", 0, "w1", "RST", 9.0, False, None, {"waiting": 1.0, "x0": 2.0, "odd": 3}],
    ["outcome", 0, "never", 0, "w1", "GOOD", 9.0, True, None, None],
    ["aborted", 0, "r1"],
    ["ackFirst", 0, "r1", 0, "w1", 3.0],
    ["statusBack", 0, "w1", 3.0, "GOOD", None],
    ["reminder", 0, 0],
    ["powerOff", 0],
    ["end"],
]


def serve_lines(lines: list[list[Any]]) -> list[list[Any]]:
    output = io.BytesIO()
    simhost.serve([json.dumps(line).encode() for line in lines], output)
    return [json.loads(line) for line in output.getvalue().splitlines()]


def test_every_event_is_accepted_and_every_batch_is_answered() -> None:
    reply = serve_lines(BATCH)
    assert [line for line in reply if line[0] == "ready"] == [["ready"], ["ready"]]
    # The retry stays queued because the only other worker is cold.
    assert sum(line[0] == "passOn" for line in reply) == 1
    assert any(line[0] == "defer" for line in reply)


@pytest.mark.parametrize(
    ("action", "line"),
    [
        (StartAttempt("r", 0, "w", 5.0), ["passOn", 3, "r", "w", 5.0]),
        (RejectRequest("r", 7.0), ["decline", 3, "r", 7.0]),
        (FailRequest("r"), ["giveUp", 3, "r"]),
        (CancelAttempt("r", 1), ["abandon", 3, "r", 1]),
        (ProbeWorker("w"), ["soundOut", 3, "w"]),
        (SubscribeEndpoints(), ["follow", 3, True]),
        (SetTimer(1, 9.0), ["defer", 3, 1, 9.0]),
        (LogMessage("text"), ["record", 3, "text"]),
    ],
)
def test_actions_are_encoded_as_lines(action: Action, line: list[Any]) -> None:
    assert json.loads(simhost.encode(3, action)) == line


@pytest.mark.parametrize("name", ["siblings", "lanes", "rules", "policyLimits"])
def test_missing_setting_is_named_in_the_error(name: str) -> None:
    with pytest.raises(ValueError, match=name):
        parse_settings({k: v for k, v in FACTS.items() if k != name})


def run_process(text: str, seed: str = "0") -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "oxbowyard.simhost"],
        input=text,
        capture_output=True,
        text=True,
        cwd=ROOT,
        env={**os.environ, "PYTHONHASHSEED": seed},
        check=False,
    )


@pytest.mark.parametrize(
    "text", ["{nonsense\n", '["end"]\n', '["batch",1]\n', '["batch",1]\n["outcome",0]\n["batch",2]\n']
)
def test_malformed_input_ends_the_process_with_one_error_line(text: str) -> None:
    process = run_process(text)
    assert process.returncode == 1 and process.stdout == ""
    assert process.stderr.startswith("oxbowyard: ") and process.stderr.count("\n") == 1


def test_end_of_input_between_batches_is_a_clean_exit() -> None:
    assert (run_process("").returncode, run_process('["batch",1]\n["end"]\n').stdout) == (0, '["ready"]\n')


def test_output_does_not_depend_on_the_hash_seed() -> None:
    text = "".join(json.dumps(line) + "\n" for line in BATCH)
    assert run_process(text, "1").stdout == run_process(text, "2").stdout != ""


def test_exception_in_the_dispatcher_is_reported_as_internal_error(monkeypatch: pytest.MonkeyPatch) -> None:
    def broken(self: object, now: float, event: object) -> list[Action]:
        raise RuntimeError("boom")

    monkeypatch.setattr(Dispatcher, "handle", broken)
    assert ["internalError", 0, "RuntimeError: boom"] in serve_lines(BATCH)
