"""A reload reaches every place that holds a job class or what follows from it, Gearman functions included."""

from __future__ import annotations

import asyncio
import json
import signal
from collections.abc import Awaitable, Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from exchange_player import ROOT, SchedulerProcess
from scheduler_harness import SchedulerHarness, run_scenario
from test_gearman_chaos import ASSIGN, COMPLETE, CREATED, FAIL, NO_JOB, NOOP, packet, read

from oxbowyard.core.settings_update import plan_settings_update
from oxbowyard.decision.settings import JobClass, RetrySafety, Settings
from oxbowyard.gearman.config import GearmanConfig, parse

FUNCTION = "render_preview"
GEARMAN = """
listen = "127.0.0.1:0"
[functions.render_preview]
class = "preview"
deadline_ms = {deadline_ms}
"""
NO_SECOND_RUN_S = 0.5  # in which a retry would have reached the second worker
FREE = JobClass("free", latency_objective_ms=1000, deadline_ms=5000, retry_safety=RetrySafety.IDEMPOTENT)
OTHER = JobClass("other", latency_objective_ms=900, deadline_ms=4000)
Scenario = Callable[["Site"], Awaitable[None]]


class GearmanWorker:
    """A worker that takes one job at a time."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    async def grab(self) -> bytes:
        """Wait for a job; return its handle."""
        while True:
            self.writer.write(packet(9))
            type_, arguments = await read(self.reader)
            if type_ == ASSIGN:
                return arguments[0]
            assert type_ == NO_JOB
            self.writer.write(packet(4))
            assert (await read(self.reader))[0] == NOOP


class Site:
    """A scheduler with one Gearman function, its files and its peers."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._writers: list[asyncio.StreamWriter] = []
        self.document: dict[str, Any] = json.loads((ROOT / "examples/config.json").read_text())
        self.document |= {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1"}
        self.write_gearman(deadline_ms=10000)
        self.program = SchedulerProcess(self.document, folder, ["--gearman", str(folder / "gearman.toml")])

    def write_gearman(self, deadline_ms: int) -> None:
        (self.folder / "gearman.toml").write_text(GEARMAN.format(deadline_ms=deadline_ms))

    def set_class(self, **changes: object) -> None:
        """Change the class that the function is based on, in the file."""
        self.document["settings"]["lanes"][0] |= changes

    def reload(self, expected_line: str) -> None:
        """Send SIGHUP with the present files, and wait for a log line."""
        (self.folder / "config.json").write_text(json.dumps(self.document))
        self.program.process.send_signal(signal.SIGHUP)
        self.program.wait_for(expected_line)

    async def worker(self) -> GearmanWorker:
        worker = GearmanWorker(*await self._connect())
        worker.writer.write(packet(1, FUNCTION.encode()))
        return worker

    async def submit(self) -> asyncio.StreamReader:
        """Submit a job from a new client, and return where it hears of it."""
        reader, writer = await self._connect()
        writer.write(packet(7, FUNCTION.encode(), b"", b"sheet"))
        assert (await read(reader))[0] == CREATED
        return reader

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection(*self.program.address("gearman"))
        self._writers.append(writer)
        return reader, writer

    async def disconnect(self) -> None:
        """Close all connections."""
        for writer in self._writers:
            writer.transport.abort()
        await asyncio.sleep(0)

    async def run_with_dying_worker(
        self, before_death: Callable[[], None] = lambda: None
    ) -> tuple[int, bool]:
        """Submit a job whose worker dies. Return the final packet and whether another worker got the job."""
        first = await self.worker()
        grabbed = asyncio.create_task(first.grab())
        client = await self.submit()
        await grabbed
        before_death()
        second = await self.worker()
        again = asyncio.create_task(second.grab())
        first.writer.transport.abort()
        final = asyncio.create_task(self._final_packet(client))
        done, _ = await asyncio.wait({again, final}, return_when=asyncio.FIRST_COMPLETED)
        if again in done:
            second.writer.write(packet(COMPLETE, again.result(), b"rendered"))
            return await final, True
        await asyncio.wait({again}, timeout=NO_SECOND_RUN_S)
        ran_twice = again.done()
        again.cancel()
        return final.result(), ran_twice

    async def _final_packet(self, reader: asyncio.StreamReader) -> int:
        while (type_ := (await read(reader))[0]) not in (COMPLETE, FAIL):
            pass
        return type_


def play(folder: Path, scenario: Scenario) -> None:
    site = Site(folder)

    async def run() -> None:
        async with asyncio.timeout(30):
            await scenario(site)
            await site.disconnect()

    try:
        site.program.address("gearman")
        asyncio.run(run())
    finally:
        site.program.end()


def test_gearman_job_of_a_class_that_a_reload_made_single_shot_does_not_run_twice(tmp_path: Path) -> None:
    # Guards against a function that keeps the effect its class had at the start (review/8).
    async def scenario(site: Site) -> None:
        site.set_class(semantics="single_shot")
        site.reload("settings reloaded")
        assert await site.run_with_dying_worker() == (FAIL, False)

    play(tmp_path, scenario)


def test_gearman_job_that_runs_at_a_reload_keeps_the_class_it_came_with(tmp_path: Path) -> None:
    async def scenario(site: Site) -> None:
        site.set_class(semantics="single_shot")
        reload = lambda: site.reload("settings reloaded")  # noqa: E731
        assert await site.run_with_dying_worker(reload) == (COMPLETE, True)

    play(tmp_path, scenario)


def test_reload_names_the_gearman_file_only_if_that_has_changed(tmp_path: Path) -> None:
    # Guards against "restart required for: gearman" when the file is the same and only a class has changed.
    async def scenario(site: Site) -> None:
        site.set_class(semantics="single_shot")
        site.reload("configuration reloaded")
        assert not any("restart required" in line for line in site.program.lines)
        site.write_gearman(deadline_ms=9000)
        site.reload("restart required for: gearman$")

    play(tmp_path, scenario)


def test_reload_without_the_class_of_a_function_is_rejected(tmp_path: Path) -> None:
    async def scenario(site: Site) -> None:
        del site.document["settings"]["lanes"][0]
        site.document["settings"]["familyInfo"]["classKind"].pop()
        site.document["settings"]["familyInfo"]["classStretch"].pop()
        site.reload("configuration rejected.*class 'preview' is not in the settings")
        assert await site.run_with_dying_worker() == (COMPLETE, True)

    play(tmp_path, scenario)


def config(**row: object) -> GearmanConfig:
    return parse({"listen": "127.0.0.1:0", "functions": {"f": {"class": "free", **row}}}, (FREE, OTHER))


def test_class_of_a_function_follows_its_base_class_but_for_its_own_values() -> None:
    following, fixed = config(), config(deadline_ms=3000, worth=7.0)
    changed = replace(
        FREE,
        latency_objective_ms=4000,
        deadline_ms=8000,
        priority_weight=5,
        retry_safety=RetrySafety.NOT_IDEMPOTENT,
    )
    (job_class,) = following.apply_classes((changed, OTHER))
    assert job_class == replace(changed, name="gearman:f", kind="gearman")
    assert following.functions["f"].deadline_s == 8.0
    (job_class,) = fixed.apply_classes((changed, OTHER))
    assert (job_class.deadline_ms, job_class.latency_objective_ms, job_class.priority_weight) == (
        3000,
        3000,
        7,
    )
    assert job_class.retry_safety is RetrySafety.NOT_IDEMPOTENT
    assert following.apply_classes((OTHER,))[0].deadline_ms == 8000  # its base class is gone: it stays
    assert following == config() and fixed != following


def test_stricter_rule_of_old_and_new_class_binds_gearman_functions_during_an_update() -> None:
    strict = replace(FREE, retry_safety=RetrySafety.NOT_IDEMPOTENT)
    for old, new in ((FREE, strict), (strict, FREE)):
        step = plan_settings_update(Settings(classes=(old,)), Settings(classes=(new,)))
        (job_class,) = config().apply_classes(step.transition.classes)
        assert job_class.retry_safety is RetrySafety.NOT_IDEMPOTENT
        (job_class,) = config().apply_classes(step.final.classes)
        assert job_class.retry_safety is new.retry_safety


def test_reload_reaches_every_holder_of_a_class(tmp_path: Path) -> None:
    async def scenario(harness: SchedulerHarness) -> None:
        subsystems = harness.subsystems
        settings = harness.config.settings
        strict = tuple(
            replace(c, retry_safety=RetrySafety.NOT_IDEMPOTENT, latency_objective_ms=700.0)
            for c in settings.classes
        )
        added = replace(strict[0], name="added", latency_objective_ms=100.0)
        subsystems.apply_settings(replace(settings, classes=(*strict, added)))
        names = {c.name for c in strict} | {"added"}
        functions = {"gearman:render_preview", "gearman:read_label", "gearman:file_specimen"}
        state = subsystems.scheduler._facade._state
        assert subsystems.classes == names
        assert state.classes.keys() == names | functions
        assert all(c.retry_safety is RetrySafety.NOT_IDEMPOTENT for c in state.classes.values())
        assert state.unknown_class.latency_objective_ms == 100.0
        assert subsystems.backends.non_repeatable == names | functions
        assert subsystems.scheduler._admission._repeat_windows_s == dict.fromkeys(names | functions)
        assert subsystems.measure._classes["gearman:read_label"].latency_objective_ms == 700.0
        assert subsystems.deadlines_s["added"] == added.deadline_ms / 1000

    run_scenario(tmp_path, scenario, starts=True)


@pytest.mark.parametrize("has_changed", [False, True])
def test_with_deferred_jobs_gearman_functions_keep_their_class_and_the_log_says_so(
    has_changed: bool, tmp_path: Path
) -> None:
    document = json.loads((ROOT / "examples/config.json").read_text())
    document |= {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1"}
    operator = tmp_path / "operator.toml"
    operator.write_text(
        '[waiting]\n[gearman]\nlisten = "127.0.0.1:0"\n[gearman.functions.f]\nclass = "preview"\n'
    )
    program = SchedulerProcess(document, tmp_path, ["--operator", str(operator)])
    try:
        program.address("gearman")
        if has_changed:
            document["settings"]["lanes"][0]["semantics"] = "single_shot"
        (tmp_path / "config.json").write_text(json.dumps(document))
        program.process.send_signal(signal.SIGHUP)
        program.wait_for("configuration reloaded: discovery unchanged")
        named = [line for line in program.lines if "restart required" in line]
        assert [line.partition("for: ")[2] for line in named] == ["settings.lanes"] * has_changed
    finally:
        program.end()
