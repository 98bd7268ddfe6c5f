"""A unique id stays taken as long as a worker may still be at a job with it, however the job has ended.

The scheduler's subsystems on real sockets with a virtual clock; the workers count the jobs that they get.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import pytest
from scheduler_harness import SchedulerHarness, disconnect, run_loop_iterations, run_scenario
from test_durable import play
from test_gearman_chaos import ASSIGN, COMPLETE, CREATED, FAIL, NO_JOB, NOOP, WARNING, packet
from test_gearman_durable import FOREGROUND, Front
from test_waiters_of_deferred_jobs import Scene, Worker

from oxbowyard.core.memory_budget import MemoryBudget
from oxbowyard.core.request import AttemptContext, Request, RunState
from oxbowyard.gearman import unfinished_runs
from oxbowyard.gearman.assignment import Assignment
from oxbowyard.gearman.unfinished_runs import FORGOTTEN_COUNT, REFUSED_COUNT, UnfinishedRuns
from oxbowyard.waiting.job import JobOutcome
from oxbowyard.waiting.settings import WaitingSettings

ERROR, SUBMIT, SUBMIT_BACKGROUND, CAN_DO, CAN_DO_TIMEOUT, GRAB, SLEEP = 19, 7, 18, 1, 23, 9, 4
SINGLE_SHOT, REPEATABLE = b"file_specimen", b"render_preview"
DEADLINE_S = 25.0  # of the single-shot function
REMEMBERED_S = 30.0  # in these tests: for how long the run of a lost worker is kept
OWN_LIMIT_S = 2.0  # of a worker with a time limit
RESULT = b"filed"


class GearmanSocket:
    """A peer of the Gearman front."""

    def __init__(self, harness: SchedulerHarness) -> None:
        self._harness = harness
        self.socket: socket.socket = harness.connect("gearman")
        self._buffer = b""

    async def exchange(self, *packets: bytes) -> list[tuple[int, list[bytes]]]:
        """Send packets; return what has arrived since the last call."""
        if packets:
            self.socket.sendall(b"".join(packets))
        self._buffer += await self._harness.read_available(self.socket)
        received = []
        while len(self._buffer) >= 12:
            _, type_, size = struct.unpack(">4sII", self._buffer[:12])
            received.append((type_, self._buffer[12 : 12 + size].split(b"\0")))
            self._buffer = self._buffer[12 + size :]
        return received


class GearmanWorker(GearmanSocket):
    """A worker that can do both functions."""

    async def announce(self, limit_s: float = 0.0) -> None:
        """Say what it can do, for its own time limit at most, and wait for jobs."""
        limit = str(int(limit_s)).encode()
        for function in (SINGLE_SHOT, REPEATABLE):
            await self.exchange(
                packet(CAN_DO_TIMEOUT, function, limit) if limit_s else packet(CAN_DO, function)
            )
        await self.exchange(packet(SLEEP))

    async def grab(self) -> bytes | None:
        """Return the handle of its next job; None if there is none."""
        for type_, arguments in await self.exchange(packet(GRAB)):
            assert type_ in (ASSIGN, NO_JOB, NOOP)
            if type_ == ASSIGN:
                return arguments[0]
        await self.exchange(packet(SLEEP))
        return None

    async def complete(self, handle: bytes) -> None:
        """Report the end of a job, and wait for the next."""
        await self.exchange(packet(COMPLETE, handle, RESULT), packet(SLEEP))


@dataclass
class Client(GearmanSocket):
    """A client with one job."""

    def __init__(self, harness: SchedulerHarness) -> None:
        super().__init__(harness)
        self.types: list[int] = []
        self.texts = b""

    async def submit(
        self, function: bytes = SINGLE_SHOT, unique: bytes = b"u1", type_: int = SUBMIT
    ) -> list[int]:
        """Submit a job; return the types of the packets that answer it."""
        return await self.receive(packet(type_, function, unique, b"sheet"))

    async def receive(self, *packets: bytes) -> list[int]:
        """Return the types of all packets so far."""
        for type_, arguments in await self.exchange(*packets):
            self.types.append(type_)
            self.texts += b" ".join(arguments)
        return self.types


class Site:
    """A scheduler with two workers, the first of which runs a job with the id `u1`."""

    def __init__(self, harness: SchedulerHarness) -> None:
        self.harness = harness
        self.first = GearmanWorker(harness)
        self.second = GearmanWorker(harness)
        self.client = Client(harness)

    async def begin(self, function: bytes = SINGLE_SHOT, limit_s: float = 0.0) -> bytes:
        """Have the first worker begin the client's job; return its handle."""
        await self.first.announce(limit_s)
        assert await self.client.submit(function) == [CREATED]
        handle = await self.first.grab()
        assert handle is not None
        await self.second.announce()
        return handle

    async def submit_again(self, function: bytes = SINGLE_SHOT) -> Client:
        """Submit the same id from a new client."""
        client = Client(self.harness)
        await client.submit(function)
        return client

    async def assert_taken(self) -> None:
        """Check that the id does not begin again, neither in the foreground nor in the background."""
        client = await self.submit_again()
        assert client.types == [CREATED, WARNING, FAIL]
        assert b"may still run" in client.texts
        assert await Client(self.harness).submit(type_=SUBMIT_BACKGROUND) == [ERROR]
        assert await self.second.grab() is None

    async def assert_free(self, function: bytes = SINGLE_SHOT) -> None:
        """Check that the id begins again, at the second worker."""
        client = await self.submit_again(function)
        handle = await self.second.grab()
        assert handle is not None
        await self.second.complete(handle)
        assert await client.receive() == [CREATED, COMPLETE]


def play_site(folder: Path, scenario: Callable[[Site], object], **more: object) -> None:
    async def run(harness: SchedulerHarness) -> None:
        await scenario(Site(harness))  # type: ignore[misc]

    run_scenario(folder, run, starts=True, **more)  # type: ignore[arg-type]


@pytest.mark.parametrize("manner", ["close", "half", "reset"])
@pytest.mark.parametrize("function", [SINGLE_SHOT, REPEATABLE])
def test_client_that_comes_back_joins_the_job_that_still_runs(
    function: bytes, manner: str, tmp_path: Path
) -> None:
    # Guards against a second run beside the first, when a client that lost its connection submits again
    # (review/9).
    async def scenario(site: Site) -> None:
        handle = await site.begin(function)
        disconnect(site.client.socket, manner)
        await run_loop_iterations()
        await asyncio.sleep(1.0)
        again = await site.submit_again(function)
        assert again.types == [CREATED]
        assert await site.second.grab() is None
        await site.first.complete(handle)
        assert await again.receive() == [CREATED, COMPLETE]
        await site.assert_free(function)

    play_site(tmp_path, scenario)


def test_job_without_clients_ends_unheard_and_frees_its_id(tmp_path: Path) -> None:
    async def scenario(site: Site) -> None:
        handle = await site.begin()
        disconnect(site.client.socket, "reset")
        await run_loop_iterations()
        await site.first.complete(handle)
        answers = site.harness.subsystems.summary()
        assert "left 1" in answers and "served" not in answers
        await site.assert_free()

    play_site(tmp_path, scenario)


def test_job_whose_client_leaves_before_a_worker_has_it_is_cancelled(tmp_path: Path) -> None:
    async def scenario(site: Site) -> None:
        await site.client.submit()
        disconnect(site.client.socket, "reset")
        await run_loop_iterations()
        await site.second.announce()
        await site.assert_free()

    play_site(tmp_path, scenario)


def test_id_of_job_whose_client_and_worker_are_lost_stays_taken_for_a_time(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(unfinished_runs, "REMEMBER_S", REMEMBERED_S)

    async def scenario(site: Site) -> None:
        await site.begin()
        disconnect(site.client.socket, "reset")
        await run_loop_iterations()
        disconnect(site.first.socket, "reset")
        await run_loop_iterations()
        await site.assert_taken()
        await asyncio.sleep(REMEMBERED_S + 1.0)
        await site.assert_free()

    play_site(tmp_path, scenario)


def test_repeatable_job_whose_client_came_back_is_retried(tmp_path: Path) -> None:
    async def scenario(site: Site) -> None:
        await site.begin(REPEATABLE)
        disconnect(site.client.socket, "reset")
        await run_loop_iterations()
        again = await site.submit_again(REPEATABLE)
        disconnect(site.first.socket, "reset")
        await run_loop_iterations()
        handle = await site.second.grab()
        assert handle is not None
        await site.second.complete(handle)
        assert await again.receive() == [CREATED, COMPLETE]

    play_site(tmp_path, scenario)


def test_repeatable_job_without_clients_is_not_retried(tmp_path: Path) -> None:
    # Guards against an attempt that begins after the last client has left.
    async def scenario(site: Site) -> None:
        await site.begin(REPEATABLE)
        disconnect(site.client.socket, "reset")
        await run_loop_iterations()
        disconnect(site.first.socket, "reset")
        await run_loop_iterations()
        assert await site.second.grab() is None
        await site.assert_free(REPEATABLE)

    play_site(tmp_path, scenario)


@pytest.mark.parametrize(("limit_s", "ended_after_s"), [(0.0, DEADLINE_S), (OWN_LIMIT_S, OWN_LIMIT_S)])
def test_id_of_job_whose_time_is_over_stays_taken_until_its_worker_reports(
    limit_s: float, ended_after_s: float, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(unfinished_runs, "REMEMBER_S", REMEMBERED_S)

    async def scenario(site: Site) -> None:
        handle = await site.begin(limit_s=limit_s)
        await asyncio.sleep(ended_after_s + 0.1)
        assert (await site.client.receive())[-1] == FAIL
        await site.assert_taken()
        await asyncio.sleep(REMEMBERED_S + 1.0)
        await site.assert_taken()  # the worker is connected and has not reported
        await site.first.complete(handle)
        await site.assert_free()

    play_site(tmp_path, scenario)


def test_id_of_job_whose_worker_is_lost_stays_taken_until_it_comes_back_and_reports(tmp_path: Path) -> None:
    async def scenario(site: Site) -> None:
        handle = await site.begin()
        disconnect(site.first.socket, "reset")
        assert (await site.client.receive())[-1] == FAIL
        await site.assert_taken()
        assert site.harness.subsystems.gearman is not None
        assert site.harness.subsystems.gearman.counts[REFUSED_COUNT] == 2
        await GearmanWorker(site.harness).exchange(packet(COMPLETE, handle, RESULT))
        await site.assert_free()

    play_site(tmp_path, scenario)


def test_repeatable_job_begins_again_beside_a_worker_that_hangs(tmp_path: Path) -> None:
    # Guards against a harmless repeat that is refused.
    async def scenario(site: Site) -> None:
        await site.begin(REPEATABLE)
        await asyncio.sleep(11.0)  # past its deadline
        assert await site.client.receive() != [CREATED]
        await site.assert_free(REPEATABLE)

    play_site(tmp_path, scenario)


@pytest.mark.parametrize(
    ("function", "unique"), [(SINGLE_SHOT, b"u2"), (SINGLE_SHOT, b""), (b"read_label", b"u1")]
)
def test_other_jobs_begin_beside_a_run_whose_end_is_not_known(
    function: bytes, unique: bytes, tmp_path: Path
) -> None:
    # Guards against a refusal of another job, or of one without a unique id.
    async def scenario(site: Site) -> None:
        await site.begin()
        disconnect(site.first.socket, "reset")
        assert (await site.client.receive())[-1] == FAIL
        await site.second.exchange(packet(CAN_DO, function))
        other = Client(site.harness)
        assert await other.submit(function, unique) == [CREATED]
        assert await site.second.grab() is not None

    play_site(tmp_path, scenario)


def test_deferred_job_whose_client_left_is_joined_or_cancelled_at_its_end(tmp_path: Path) -> None:
    async def scenario(site: Site) -> None:
        handle = await site.begin()
        job_id = site.client.texts.decode()
        queue = site.harness.subsystems.job_queue
        assert queue is not None and queue.find(job_id) is not None
        disconnect(site.client.socket, "reset")
        await run_loop_iterations()
        again = await site.submit_again()
        assert again.types == [CREATED]
        disconnect(again.socket, "reset")
        await run_loop_iterations()
        await site.first.complete(handle)
        result = queue.result(job_id)
        assert result is not None and result.outcome is JobOutcome.CANCELLED
        assert result.run_state is RunState.MAY_HAVE_RUN
        await site.assert_free()

    play_site(tmp_path, scenario, waiting=WaitingSettings())


def test_id_of_deferred_job_that_is_cancelled_while_it_runs_stays_taken(tmp_path: Path) -> None:
    async def scenario(site: Site) -> None:
        handle = await site.begin()
        queue = site.harness.subsystems.job_queue
        assert queue is not None
        queue.cancel(site.client.texts.decode())  # as DELETE /jobs/ID does
        assert (await site.client.receive())[-1] == FAIL
        await site.assert_taken()
        await site.first.complete(handle)
        await site.assert_free()

    play_site(tmp_path, scenario, waiting=WaitingSettings())


def test_job_without_clients_does_not_delay_the_exit(tmp_path: Path) -> None:
    async def scenario(site: Site) -> None:
        await site.begin()
        disconnect(site.client.socket, "reset")
        await run_loop_iterations()
        assert site.harness.scheduler.open_request_count == 1
        assert site.harness.subsystems.gearman is not None
        site.harness.subsystems.gearman.start_draining()
        await run_loop_iterations()
        assert site.harness.scheduler.open_request_count == 0

    play_site(tmp_path, scenario)


def assignment(handle: bytes, unique: str = "u1") -> Assignment:
    request = Request("j", "once", 5.0, target="file", extras={"unique": unique})
    outcome = asyncio.get_running_loop().create_future()
    return Assignment(handle, request, AttemptContext(5.0, lambda: None), outcome)


def test_operator_frees_the_id_of_a_job_whose_worker_is_lost(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene() -> None:
        for is_lost in (True, False):
            worker = Worker()
            scene = Scene(Front(tmp_path / f"jobs-{is_lost}.db", worker.attempt, monkeypatch))
            job_id = await scene.come_into_doubt(worker)
            runs = scene.front.jobs._unfinished_runs
            runs.add(assignment(b"a1"))
            if is_lost:
                runs.mark_lost(b"a1")
            assert scene.queue.resolve(job_id, "operator", JobOutcome.FAILED)
            await scene.queue.intake.wait_until_durable()
            await asyncio.sleep(0)
            assert runs.may_run("file", b"u1") is not is_lost
            worker.outcome = asyncio.get_running_loop().create_future()
            worker.complete()
            again = scene.front.submit(FOREGROUND)
            await asyncio.sleep(0.1)
            assert len(scene.front.harness.sent) == 1 + is_lost, again.received
            await scene.front.harness.durable_store.close()

    play(scene)


def test_runs_of_lost_workers_are_bounded_and_counted(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene() -> None:
        monkeypatch.setattr(unfinished_runs, "MAX_LOST_RUNS", 3)
        memory = MemoryBudget(1 << 20)
        runs = UnfinishedRuns(memory, asyncio.get_running_loop().time)
        for number in range(5):
            runs.add(assignment(b"%d" % number, f"u{number}"))
            runs.mark_lost(b"%d" % number)
        runs.add(assignment(b"connected", "u9"))
        assert [runs.may_run("file", b"u%d" % number) for number in range(5)] == [
            False,
            False,
            True,
            True,
            True,
        ]
        assert runs.may_run("file", b"u9") and runs.count == 4
        assert runs.counts[FORGOTTEN_COUNT] == 2
        assert memory.used_bytes == 4 * unfinished_runs.RUN_BYTES
        for handle in (b"2", b"3", b"4", b"connected"):
            runs.discard(handle)
        assert runs.count == 0 and memory.used_bytes == 0

    play(scene)
