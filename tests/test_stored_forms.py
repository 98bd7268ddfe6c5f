"""The formats of stored data and of what peers, clients and operators receive do not change between releases.

The fixtures were recorded from an earlier program (see `fixtures/make_fixtures.py`). The current program must
read the same values from them, and write and send the same bytes.
"""

from __future__ import annotations

import json
import re
import shutil
import sqlite3
import tomllib
from dataclasses import astuple
from enum import Enum
from pathlib import Path
from typing import Any

import msgspec
import pytest
import response_recorder
from exchange_player import ROOT, SETTINGS

from oxbowyard.control.cordon_file import CordonFile
from oxbowyard.decision.facade import Facade, Scope, WorkerInfo
from oxbowyard.decision.platform_settings import parse_settings
from oxbowyard.decision.settings import JobClass, RetrySafety, Settings
from oxbowyard.discovery.endpoint_list import parse_endpoint_list
from oxbowyard.discovery.registry import Registry
from oxbowyard.durable.encoding import decode_dependencies, decode_request, encode_request
from oxbowyard.gearman.config import GearmanConfig
from oxbowyard.handover.learned import decode, encode
from oxbowyard.operator.file import OperatorConfig, OperatorFileError, load
from oxbowyard.start.snapshot_file import read_snapshot, write_snapshot
from oxbowyard.store.database import Database
from oxbowyard.store.record import Change, JobStateChanged, StoredJob, StoredState

FIXTURES = Path(__file__).parent / "fixtures"
WALL_S = 4_000_000_000.0
CLOCK_MS = WALL_S * 1000
START_MS = CLOCK_MS - 60_000.0
PID = 4711

# ---- All uses of the program's names by these tests ----


def read_operator_file(path: Path) -> OperatorConfig:
    """Read an operator file with the program."""
    return load(path, parse_settings(SETTINGS).classes)


def operator_faults(path: Path) -> tuple[str, ...]:
    """Return the errors that the program reports for an invalid operator file."""
    with pytest.raises(OperatorFileError) as caught:
        read_operator_file(path)
    return tuple(caught.value.errors)


def operator_tables(found: OperatorConfig) -> dict[str, Any]:
    """Return the tables read, by key, with [gearman] and the membership group as tuples of their fields."""
    assert found.gearman is not None and found.membership is not None
    tables = {"waiting": found.waiting, "durable": found.durable, "membership": found.membership,
              "start": found.start}  # fmt: skip
    return {name: msgspec.to_builtins(table) for name, table in tables.items()} | {
        "gearman": gearman_table(found.gearman),
        "membership's group": astuple(found.membership.protocol_settings()),
    }


def gearman_table(found: GearmanConfig) -> tuple[Any, ...]:
    """Return the table [gearman] as a tuple of its fields, each function with the class of its jobs."""
    *limits, _ = astuple(found)
    functions = {
        name: (function.name, astuple(function.job_class), function.queueing, function.max_wait_s)
        for name, function in found.functions.items()
    }
    return (*limits, functions)


def stored_jobs(database: Database, ids: list[str]) -> list[StoredJob]:
    """Return the jobs with these ids as the program reads them."""
    return [job for id_ in ids if (job := database.find(id_)) is not None]


def store_jobs(database: Database, jobs: list[StoredJob]) -> None:
    """Write jobs into a new store, change by change."""
    changes: list[Change] = []
    for job in jobs:
        number = job.accepted.number
        changes.append(job.accepted)
        if job.lease is not None:
            changes.append(JobStateChanged(number, StoredState.GRANTED, job.submission_count, job.lease))
        if job.ended is not None:
            changes.append(job.ended)
        elif job.state is not StoredState.GRANTED:
            changes.append(JobStateChanged(number, job.state, job.submission_count))
    database.apply(changes)


def reencode_job(job: StoredJob) -> tuple[bytes, bytes]:
    """Decode a stored request and its dependencies, and encode them again."""
    parents = [[parent.id, parent.condition.value] for parent in decode_dependencies(job)]
    return encode_request(decode_request(job, 5.0)), json.dumps(parents).encode()


def stored_encoding(job: StoredJob) -> tuple[bytes, bytes]:
    """Return the request and the dependencies as the store holds them."""
    return job.accepted.request, job.accepted.dependencies


def read_snapshot_file(path: Path, now: float) -> tuple[int, list[dict[str, Any]], float]:
    """Return the revision, entries and age of the endpoint list in a snapshot file."""
    found = read_snapshot(path, "default", now, 86400.0, 100, 1 << 20)
    return found.revision, [dict(row) for row in found.targets], found.age_s


def write_snapshot_file(path: Path, rev: int, entries: list[dict[str, Any]]) -> None:
    """Apply an endpoint list as one from discovery, and write its snapshot file."""
    registry = Registry(lambda: CLOCK_MS, 1000.0)
    registry.apply(parse_endpoint_list({"rev": rev, "all": True, "targets": entries}))
    registry.cordon("w3")
    write_snapshot(path, "default", WALL_S, rev, registry.targets())


def cordoned_workers(path: Path) -> set[str]:
    """Return the cordoned workers that the file names."""
    return set(CordonFile(path).read() or ())


def change_cordon(path: Path, uid: str, out: bool) -> None:
    """Add a worker to the file, or remove it."""
    CordonFile(path).update(uid, out)


def reencode_estimates(text: bytes, now: float) -> bytes:
    """Decode the file of learned estimates, and encode it again."""
    return encode(decode(text, PID, now), PID)


def restore_and_encode_estimates(text: bytes) -> bytes:
    """Return the estimates that a new process hands over directly after restoring these."""
    classes = (
        JobClass("short", latency_objective_ms=1000, deadline_ms=10000, retry_safety=RetrySafety.IDEMPOTENT),
        JobClass("once", latency_objective_ms=4000, deadline_ms=25000),
    )
    settings = Settings(
        classes, scheduler_count=3, max_attempts=3, reports_starts=True, may_cancel=True, ramp_ms=90_000.0,
        initial_capacity_share=0.15, overload_multiple=2.5, overload_window_ms=3000.0,
    )  # fmt: skip
    facade = Facade(settings, 1, lambda: CLOCK_MS)
    infos = [WorkerInfo(f"w{i}", kind="fast" if i % 2 else "slow", weight=1.0 + i) for i in range(4)]
    cold = WorkerInfo("w4", kind="slow", started_at_ms=START_MS - 5000.0)
    facade.update_endpoints(Scope.FULL, (*infos, cold))
    facade.restore_snapshot(decode(text, PID, CLOCK_MS))
    return encode(facade.snapshot(), PID)


# ---- The operator file ----


def as_json(value: object) -> Any:
    return json.loads(
        json.dumps(value, default=lambda item: item.value if isinstance(item, Enum) else str(item))
    )


def leaf_keys(table: dict[str, Any], above: str = "") -> set[str]:
    found: set[str] = set()
    for key, value in table.items():
        found |= leaf_keys(value, f"{above}{key}.") if isinstance(value, dict) else {above + key}
    return found


def test_each_key_of_the_operator_file_is_read_as_recorded() -> None:
    read = as_json(operator_tables(read_operator_file(FIXTURES / "operator.toml")))
    assert read == json.loads((FIXTURES / "operator.json").read_text())


def test_fault_in_the_operator_file_names_its_key(tmp_path: Path) -> None:
    text = (FIXTURES / "operator.toml").read_text()
    path = tmp_path / "operator.toml"
    path.write_text(re.sub(r"(?m)^(\w+) = .*", r"\1 = {bad = 1}", text))
    named = {fault.partition(":")[0] for fault in operator_faults(path)}
    assert named == leaf_keys(tomllib.loads(text))


def test_operator_fixture_has_every_key_of_the_deployed_file() -> None:
    deployed = re.sub(r"(?m)^# (?=[\[\w]+.*(=|\]$))", "", (ROOT / "deploy/operator.toml").read_text())
    tables = tomllib.loads(deployed)
    own = leaf_keys(tomllib.loads((FIXTURES / "operator.toml").read_text()))
    for table in ("waiting", "durable", "membership", "start"):
        keys = {key for key in leaf_keys({table: tables[table]}) if ".classes." not in key}
        assert keys and keys <= own


# ---- The store ----


def read_tables(path: Path) -> tuple[list[Any], list[Any]]:
    """Return the schema with its pragmas, and the rows of the jobs table."""
    database = sqlite3.connect(path)
    try:
        schema = database.execute("SELECT type, name, sql FROM sqlite_master ORDER BY name").fetchall()
        figures = [database.execute(f"PRAGMA {name}").fetchone() for name in
                   ("application_id", "user_version", "auto_vacuum", "journal_mode")]  # fmt: skip
        return [schema, figures], database.execute("SELECT * FROM jobs ORDER BY number").fetchall()
    finally:
        database.close()


@pytest.fixture
def store(tmp_path: Path) -> Path:
    return Path(shutil.copy(FIXTURES / "jobs.db", tmp_path / "jobs.db"))


def job_ids(path: Path) -> list[str]:
    return [row[1] for row in read_tables(path)[1]]


def test_store_is_read_and_rewritten_identically(store: Path, tmp_path: Path) -> None:
    ids, before = job_ids(store), read_tables(store)
    old, new = Database(store), Database(tmp_path / "new.db")
    jobs = stored_jobs(old, ids)
    assert len(jobs) == len(ids) == 18
    store_jobs(new, jobs)
    old.close()
    new.close()
    assert read_tables(store) == before, "reading must not change the store"
    assert read_tables(tmp_path / "new.db") == before


def test_deferred_job_records_are_decoded_and_encoded_identically(store: Path) -> None:
    database = Database(store)
    jobs = stored_jobs(database, job_ids(store))
    database.close()
    assert [reencode_job(job) for job in jobs] == [stored_encoding(job) for job in jobs]


# ---- The endpoint snapshot and the cordon file ----


def test_endpoint_snapshot_is_read_and_rewritten_identically(tmp_path: Path) -> None:
    rev, entries, age = read_snapshot_file(FIXTURES / "list.json", WALL_S + 7.0)
    assert (rev, age, [row["uid"] for row in entries]) == (41, 7.0, ["w1", "w2", "w3"])
    write_snapshot_file(tmp_path / "list.json", rev, entries)
    assert (tmp_path / "list.json").read_bytes() == (FIXTURES / "list.json").read_bytes()


def test_cordon_file_is_read_and_rewritten_identically(tmp_path: Path) -> None:
    assert cordoned_workers(FIXTURES / "out-by-hand.json") == {"w1", "w3", "gone \xe9"}
    path = Path(shutil.copy(FIXTURES / "out-by-hand.json", tmp_path))
    change_cordon(path, "w2", True)
    assert cordoned_workers(path) == {"w1", "w2", "w3", "gone \xe9"}
    change_cordon(path, "w2", False)
    assert path.read_bytes() == (FIXTURES / "out-by-hand.json").read_bytes()


# ---- Learned estimates handed over to a replacement process ----


def decode_body(text: bytes) -> dict[str, Any]:
    found: dict[str, Any] = json.loads(text.partition(b"\n")[2])
    return found


@pytest.mark.parametrize(
    ("name", "written"),
    [
        ("learned", "learned-read"),  # its integers are read as floats
        ("learned-read", "learned-read"),
        ("learned-distinct", "learned-distinct"),
        ("learned-adopted", "learned-adopted"),
    ],
)
def test_learned_estimates_are_decoded_and_encoded_identically(name: str, written: str) -> None:
    text = (FIXTURES / name).read_bytes()
    assert reencode_estimates(text, decode_body(text)["at"] + 100.0) == (FIXTURES / written).read_bytes()


def test_estimate_fixtures_fill_the_fields_they_cover() -> None:
    body = decode_body((FIXTURES / "learned").read_bytes())
    workers = body["workers"]
    assert len(workers) == 5 and len(body["pools"]) == 2 and len(body["keys"]) == 7
    assert workers["w1"]["faults"]["short"] and workers["w4"]["since"] and workers["w4"]["base"] is None
    assert workers["w2"]["unreachable"] and workers["w0"]["kept"] and body["holds"] and body["price_with"]
    distinct = decode_body((FIXTURES / "learned-distinct").read_bytes())
    for worker in distinct["workers"].values():
        assert all(value for name, value in worker.items() if name not in ("since", "unreachable"))


def test_each_estimate_is_restored_to_its_own_field() -> None:
    """Each field of the fixture has a distinct number, so that swapped fields are detected."""
    text = (FIXTURES / "learned-distinct").read_bytes()
    assert restore_and_encode_estimates(text) == (FIXTURES / "learned-adopted").read_bytes()


# ---- Answers of the started program ----


def recorded_answers(name: str) -> dict[str, str]:
    found: dict[str, str] = json.loads((FIXTURES / f"{name}-answers.json").read_text())
    return found


def test_admin_api_answers_as_recorded(tmp_path: Path) -> None:
    assert response_recorder.admin_answers(ROOT, tmp_path) == recorded_answers("admin")


def test_members_call_answers_as_recorded(tmp_path: Path) -> None:
    assert response_recorder.members_answers(ROOT, tmp_path) == recorded_answers("members")


def test_replacement_process_exchanges_the_recorded_files(tmp_path: Path) -> None:
    assert response_recorder.replacement_files(ROOT, tmp_path) == recorded_answers("replacement")


def test_deferred_jobs_api_answers_as_recorded_over_an_earlier_store(tmp_path: Path) -> None:
    store = FIXTURES / "jobs.db"
    folder = tmp_path / "program"
    folder.mkdir()
    found = response_recorder.waiting_answers(
        ROOT, folder, store, job_ids(Path(shutil.copy(store, tmp_path / "copy.db")))
    )
    assert found == recorded_answers("waiting")
