"""The OpenAPI and AsyncAPI descriptions, compared with the behaviour of the program."""

from __future__ import annotations

import json
import re
from pathlib import Path
from typing import Any

import jsonschema
import msgspec
import pytest
from exchange_player import ROOT
from openapi_spec_validator import validate

from oxbowyard.backends.answer_lines import FINAL_STATES, AnswerReader
from oxbowyard.clients.job_documents import BatchDocument, JobDocument, JobView
from oxbowyard.clients.limits import MAX_BODY_BYTES
from oxbowyard.clients.request_parsing import DURATION_PATTERN, ID_PATTERN
from oxbowyard.clients.responses import STATUS_BY_ANSWER
from oxbowyard.core.request import RunState
from oxbowyard.decision.facade import Result
from oxbowyard.waiting.job import JobOutcome, JobState

OPENAPI: dict[str, Any] = json.loads((ROOT / "api/openapi.json").read_text())
WAITING: dict[str, Any] = json.loads((ROOT / "api/openapi-waiting.json").read_text())
ASYNCAPI: dict[str, Any] = json.loads((ROOT / "api/asyncapi.json").read_text())
SUBMIT: dict[str, Any] = OPENAPI["paths"]["/{job_class}"]["post"]
EXCHANGES = [p for p in sorted((ROOT / "tests/exchanges").glob("http_*.txt")) if "waiting" not in p.stem]
MESSAGES: dict[str, Any] = ASYNCAPI["components"]["messages"]


def recorded_answers(path: Path) -> list[tuple[bool, int, dict[str, str]]]:
    """Return the answers to clients in a recorded exchange, which other tests replay.

    Each answer is a tuple: whether it belongs to a request for /up, its status and its headers.
    """
    text, answers, is_up_request = path.read_text(), [], {}
    for match in re.finditer(r"^(c\d) (>|<)(?: (.+)|\n((?:(?!\.$).*\n)*))", text, re.M):
        client, direction, line, block = match.groups()
        if direction == ">":
            is_up_request[client] = "/up" in (line or "")
        elif not line:
            head = block.partition("\n\n")[0].splitlines()
            headers = dict(h.split(": ", 1) for h in head[1:])
            answers.append((is_up_request[client], int(head[0].split()[1]), headers))
    return answers


def test_the_openapi_descriptions_are_valid() -> None:
    validate(OPENAPI)
    validate(WAITING)


def test_every_recorded_answer_is_described() -> None:
    seen = set()
    for is_up, status, headers in [a for path in EXCHANGES for a in recorded_answers(path)]:
        described = (OPENAPI["paths"]["/up"]["get"] if is_up else SUBMIT)["responses"][str(status)]
        if "$ref" in described:
            described = OPENAPI["components"]["responses"][described["$ref"].rpartition("/")[2]]
        assert headers["Content-Type"].partition(";")[0] in described["content"], (status, headers)
        seen.add(status)
    assert {200, 400, 404, 405, 413, 502, 503} <= seen


def test_the_described_header_patterns_and_limits_match_the_program() -> None:
    forms = {p["name"]: p["schema"].get("pattern") for p in SUBMIT["parameters"]}
    for name, form in (("Req-Id", ID_PATTERN), ("Req-Deadline", DURATION_PATTERN)):
        for text in ("9b1f", "a b", "", "-x", "480m", "480", "1.5u", "1s", "~", "x" * 129):
            assert bool(re.fullmatch(forms[name][1:-1], text)) == bool(form.fullmatch(text)), (name, text)
    assert (
        SUBMIT["requestBody"]["content"]["application/octet-stream"]["schema"]["maxLength"] == MAX_BODY_BYTES
    )
    assert {str(s) for s in STATUS_BY_ANSWER.values()} <= set(SUBMIT["responses"])


def schema(name: str) -> dict[str, Any]:
    return {"$ref": f"#/components/schemas/{name}", "components": ASYNCAPI["components"]}


@pytest.mark.parametrize("name", sorted(MESSAGES))
def test_the_answer_reader_parses_each_job_event_as_described(name: str) -> None:
    message = MESSAGES[name]
    for example in message["examples"]:
        payload = example["payload"]
        jsonschema.validate(payload, schema(name))
        reader = AnswerReader(payload["id"], {"waiting": "waiting", "x0": "free_slots"})
        ending = reader.read(json.dumps(payload).encode())
        assert (ending is not None) == message["summary"].startswith("Last:")
        if ending is not None:
            never_ran = "never ran" in message["summary"]
            assert (ending.result is Result.FULL) == never_ran
            assert (ending.result is Result.OK) == (name == "done")
            assert len(ending.load) == len(payload.get("load", {}))
        else:
            assert reader.is_started or reader.progress == payload["share"]


def test_every_job_event_of_the_program_is_described() -> None:
    assert set(MESSAGES) == {"started", "running", *FINAL_STATES}
    assert set(ASYNCAPI["channels"]["jobEvents"]["messages"]) == set(MESSAGES)


def test_recorded_job_events_match_their_schema() -> None:
    count = 0
    for path in EXCHANGES:
        for line in re.findall(r"^s\d chunk (\{.*\})\\n$", path.read_text(), re.M):
            event = json.loads(line.replace("\\\\", "\\"))
            jsonschema.validate(event, schema(event["state"]))
            count += 1
    assert count > 5


def waiting_schema(name: str) -> dict[str, Any]:
    return {"$ref": f"#/components/schemas/{name}", "components": WAITING["components"]}


def test_recorded_deferred_job_exchanges_match_their_schemas() -> None:
    """Validate the JSON bodies of the exchanges against their schemas; each status must be described."""
    statuses = {s for path in WAITING["paths"].values() for op in path.values() for s in op["responses"]}
    seen = set()
    for path in (ROOT / "tests/exchanges").glob("http_waiting*.txt"):
        text = path.read_text()
        for status, body in re.findall(r"^c\d told (\d+)[^|\n]*(?:\| (\{.*\}))?$", text, re.M):
            seen.add(status)
            name = "Error" if '"error"' in body else "Page" if '"next"' in body else "JobView"
            if body:
                jsonschema.validate(json.loads(body), waiting_schema(name))
        seen |= set(re.findall(r"^c\d status (\d+)$", text, re.M))
        for body in re.findall(r'^c\d ask POST /jobs(?: \[.*\])? \| (\{"(?:id|jobs)":.*)$', text, re.M):
            if body != '{"jobs":[]}':
                jsonschema.validate(json.loads(body), waiting_schema("Batch" if "jobs" in body else "Job"))
    assert seen - {"405"} <= statuses and {"200", "202", "404", "409", "413", "422", "429"} <= seen


def test_the_described_deferred_jobs_have_the_fields_and_states_of_the_program() -> None:
    schemas = WAITING["components"]["schemas"]
    for name, form in (("Job", JobDocument), ("JobView", JobView), ("Batch", BatchDocument)):
        assert set(schemas[name]["properties"]) == {f.encode_name for f in msgspec.structs.fields(form)}
    assert set(schemas["State"]["enum"]) | {"forgotten"} == {s.value for s in JobState}
    assert set(schemas["JobView"]["properties"]["end"]["enum"]) == {e.value for e in JobOutcome}
    assert set(schemas["JobView"]["properties"]["ran"]["enum"]) == {r.value for r in RunState}
