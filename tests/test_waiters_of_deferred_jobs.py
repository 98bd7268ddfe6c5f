"""Whoever waits for a deferred job hears its end, or that it can't be known, once and on either front."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from pathlib import Path

import pytest
from test_durable import DurableHarness, play
from test_gearman_durable import BACKGROUND, FOREGROUND, Client, Front, config_classes, slow_store, until
from test_job_queue import FREE, ONCE, answer_full, answer_ok, hang

from oxbowyard.core.request import AnswerKind, AttemptContext, AttemptOutcome, Request, RunState
from oxbowyard.decision.facade import Result
from oxbowyard.gearman.packet_types import PacketType
from oxbowyard.store.database import Database
from oxbowyard.store.record import StoreError, StoreFailure
from oxbowyard.waiting.job import JobOutcome, JobRejectedError, JobState, WaitOptions

ENDS = (PacketType.WORK_COMPLETE, PacketType.WORK_FAIL)
DELAY_S = 3600  # of jobs that are not to run


class Worker:
    """Runs each job until the test says how the attempt ends."""

    def __init__(self) -> None:
        self.running = asyncio.Event()
        self.outcome: asyncio.Future[AttemptOutcome] = asyncio.get_running_loop().create_future()

    async def attempt(self, backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
        context.is_last_byte_written = True
        context.on_started()
        self.running.set()
        return await asyncio.shield(self.outcome)

    def die(self) -> None:
        self.outcome.set_result(AttemptOutcome(Result.RESET, reason="worker lost with the job"))

    def complete(self) -> None:
        self.outcome.set_result(AttemptOutcome(Result.OK, b"filed"))


def ends(client: Client) -> list[PacketType]:
    """Return the final packets that a client has received."""
    types = [PacketType(int.from_bytes(data[4:8], "big")) for data in client.received]
    return [packet_type for packet_type in types if packet_type in ENDS]


def warnings(client: Client) -> str:
    """Return the texts of the warnings that a client has received."""
    number = PacketType.WORK_WARNING.value
    return " ".join(str(data[12:]) for data in client.received if int.from_bytes(data[4:8], "big") == number)


class Scene:
    """A stored background job, and a desk that waits for it in the foreground."""

    def __init__(self, front: Front) -> None:
        self.front = front
        self.queue = front.harness.job_queue
        self.batch_tool: Client
        self.desk: Client

    async def begin(self, function: str = "file", is_delayed: bool = False) -> str:
        """Submit the job, and have the desk join it. Return the job's id."""
        if is_delayed:
            self.batch_tool = Client()
            epoch = str(int(time.time()) + DELAY_S).encode()
            arguments = [function.encode(), b"u1", epoch, b"sheet"]
            self.front.jobs.submit(PacketType.SUBMIT_JOB_EPOCH, arguments, self.batch_tool)
        else:
            self.batch_tool = self.front.submit(BACKGROUND, function)
        await until(lambda: self.batch_tool.has_received(PacketType.JOB_CREATED))
        self.desk = self.front.submit(FOREGROUND, function)
        assert self.desk.has_received(PacketType.JOB_CREATED)
        return self.batch_tool.received[0][12:].decode()

    async def come_into_doubt(self, worker: Worker) -> str:
        """Have the worker die in the middle of the job. Return the job's id."""
        job_id = await self.begin()
        await worker.running.wait()
        worker.die()
        await until(lambda: self.front.harness.state(job_id) is JobState.INDETERMINATE)
        return job_id


def damaged(self: Database, changes: object) -> None:
    raise StoreError(StoreFailure.DAMAGED, "injected")


def test_client_of_stored_job_is_told_when_the_worker_dies(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a client that waits for ever for a job in doubt (review/10), or that gets a second end.
    async def scene() -> None:
        worker = Worker()
        scene = Scene(Front(tmp_path / "jobs.db", worker.attempt, monkeypatch))
        job_id = await scene.come_into_doubt(worker)
        await until(lambda: ends(scene.desk))
        assert "its end is not known" in warnings(scene.desk)
        late = scene.front.submit(FOREGROUND)  # joins while the job is in doubt
        assert ends(late) == [PacketType.WORK_FAIL]
        assert "its end is not known" in warnings(late)
        assert scene.queue.resolve(job_id, "operator", JobOutcome.SERVED, b"it was filed")
        await scene.queue.intake.wait_until_durable()
        assert ends(scene.desk) == ends(late) == [PacketType.WORK_FAIL]
        assert len(scene.front.harness.sent) == 1
        await scene.front.harness.durable_store.close()

    play(scene)


def test_client_that_joins_after_an_operator_says_never_ran_hears_the_new_end(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene() -> None:
        worker = Worker()
        scene = Scene(Front(tmp_path / "jobs.db", worker.attempt, monkeypatch))
        job_id = await scene.come_into_doubt(worker)
        worker.outcome = asyncio.get_running_loop().create_future()
        assert scene.queue.resolve(job_id, "operator", None)
        late = scene.front.submit(FOREGROUND)
        worker.complete()
        await until(lambda: ends(late))
        assert ends(late) == [PacketType.WORK_COMPLETE]
        assert ends(scene.desk) == [PacketType.WORK_FAIL]
        await scene.front.harness.durable_store.close()

    play(scene)


def test_client_of_stored_job_hears_its_refusal(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene() -> None:
        scene = Scene(Front(tmp_path / "jobs.db", answer_full, monkeypatch))
        await scene.begin()
        await until(lambda: ends(scene.desk))
        assert ends(scene.desk) == [PacketType.WORK_FAIL]
        assert "refused retry-after=" in warnings(scene.desk)
        await scene.front.harness.durable_store.close()

    play(scene)


@pytest.mark.parametrize("end", ["cancelled", "expired"])
def test_client_of_stored_job_hears_its_end_without_a_run(
    end: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene() -> None:
        scene = Scene(Front(tmp_path / "jobs.db", answer_ok, monkeypatch))
        job_id = await scene.begin(is_delayed=True)
        if end == "cancelled":
            scene.queue.cancel(job_id)
        else:
            job = scene.queue.find(job_id)
            assert job is not None
            job.wait_deadline_ms = 0.0
            scene.queue._policy.tick(job.not_before_ms)
            scene.queue._driver.drive(scene.queue._clock())
        await until(lambda: ends(scene.desk))
        assert ends(scene.desk) == [PacketType.WORK_FAIL]
        await scene.front.harness.durable_store.close()

    play(scene)


def test_client_of_stored_job_that_waits_is_told_at_sigterm(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a connection that is closed without a final answer, because the job stays in the store.
    async def scene() -> None:
        scene = Scene(Front(tmp_path / "jobs.db", answer_ok, monkeypatch))
        job_id = await scene.begin(is_delayed=True)
        scene.queue.stop()
        assert ends(scene.desk) == [PacketType.WORK_FAIL]
        assert "stays in the store" in warnings(scene.desk)
        late = scene.front.submit(FOREGROUND)
        assert ends(late) == [PacketType.WORK_FAIL]
        assert scene.front.harness.state(job_id) is JobState.SCHEDULED
        await scene.queue.wait_until_idle()
        await scene.front.harness.durable_store.close()

    play(scene)


@pytest.mark.parametrize("end", list(ENDS))
def test_client_of_stored_job_that_runs_at_sigterm_hears_its_end(
    end: PacketType, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene() -> None:
        worker = Worker()
        scene = Scene(Front(tmp_path / "jobs.db", worker.attempt, monkeypatch))
        await scene.begin()
        await worker.running.wait()
        scene.queue.stop()
        assert ends(scene.desk) == []
        (worker.complete if end is PacketType.WORK_COMPLETE else worker.die)()
        await scene.queue.wait_until_idle()
        await until(lambda: ends(scene.desk))
        assert ends(scene.desk) == [end]
        await scene.front.harness.durable_store.close()

    play(scene)


def test_client_of_job_that_goes_back_to_the_store_after_sigterm_is_told(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene() -> None:
        front = Front(tmp_path / "jobs.db", hang, monkeypatch, lease_s=0.2)
        scene = Scene(front)
        job_id = await scene.begin("repeatable")
        await until(lambda: front.harness.sent)
        scene.queue.stop()
        assert ends(scene.desk) == []
        await scene.queue.wait_until_idle()  # the lease expires, and nothing is released any more
        assert ends(scene.desk) == [PacketType.WORK_FAIL]
        assert front.harness.state(job_id) is JobState.SCHEDULED
        await front.harness.durable_store.close()

    play(scene)


def test_client_of_stored_job_is_told_when_another_process_takes_the_store(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene() -> None:
        worker = Worker()
        scene = Scene(Front(tmp_path / "jobs.db", worker.attempt, monkeypatch))
        await scene.begin()
        await worker.running.wait()
        successor = DurableHarness(tmp_path / "jobs.db", hang)
        worker.complete()  # its end can't be recorded any more
        await until(lambda: ends(scene.desk))
        assert ends(scene.desk) == [PacketType.WORK_FAIL]
        assert "the store is lost" in warnings(scene.desk)
        late = scene.front.submit(FOREGROUND)
        assert ends(late) == [PacketType.WORK_FAIL]
        await successor.durable_store.close()
        await scene.front.harness.durable_store.close()

    play(scene)


def test_client_that_repeats_a_stored_job_hears_its_earlier_end(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against WORK_FAIL for a job that was served, sent to a client that joins a repeated submission.
    async def scene() -> None:
        front = Front(tmp_path / "jobs.db", answer_ok, monkeypatch)
        scene = Scene(front)
        await scene.begin()
        await until(lambda: ends(scene.desk))
        async with slow_store(monkeypatch) as release:
            repeat, desk = front.submit(BACKGROUND), front.submit(FOREGROUND)
            release()
            await until(lambda: ends(desk))
        assert repeat.has_received(PacketType.JOB_CREATED)
        assert ends(desk) == [PacketType.WORK_COMPLETE]
        assert len(front.harness.sent) == 1
        await front.harness.durable_store.close()

    play(scene)


def test_submitters_get_an_error_when_the_store_hangs_at_exit(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a submission that was read and whose connection is closed with no answer.
    async def scene() -> None:
        front = Front(tmp_path / "jobs.db", answer_ok, monkeypatch)
        async with slow_store(monkeypatch) as release:
            clients = [front.submit(BACKGROUND), front.submit(FOREGROUND)]
            front.harness.job_queue.stop()
            await front.jobs.finish_submissions(timeout_s=0.05)
            assert all(client.has_received(PacketType.ERROR) for client in clients)
            release()
        await front.harness.durable_store.close()

    play(scene)


def test_hand_in_is_answered_when_the_store_hangs_after_sigterm(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a hand-in over HTTP that was read, and whose connection is closed with no answer.
    monkeypatch.setattr("oxbowyard.waiting.job_intake.STOP_RECORD_TIMEOUT_S", 0.05)

    async def scene() -> None:
        harness = DurableHarness(tmp_path / "jobs.db", answer_ok)
        async with slow_store(monkeypatch) as release:
            handed_in = asyncio.create_task(harness.submit("j", delay_s=60.0))
            await asyncio.sleep(0)
            harness.job_queue.stop()
            with pytest.raises(JobRejectedError, match="not known whether this is kept"):
                await handed_in
            with pytest.raises(JobRejectedError, match="not known whether this is kept"):
                await harness.job_queue.intake.wait_until_durable()
            release()
        await harness.job_queue.intake.wait_until_durable()  # a store that answers is waited for
        await harness.durable_store.close()

    play(scene)


def break_store(front: DurableHarness, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Database, "apply", damaged)
    front.queue_harness.submit("another", "once", durable=True)


def stop(front: DurableHarness, monkeypatch: pytest.MonkeyPatch) -> None:
    front.job_queue.stop()


@pytest.mark.parametrize("trouble", [break_store, stop])
def test_http_waiter_of_stored_job_is_released(
    trouble: Callable[[DurableHarness, pytest.MonkeyPatch], None],
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # A long poll ends at once, and a job that is served in the foreground fails: it may run later.
    async def scene() -> None:
        harness = DurableHarness(tmp_path / "jobs.db", answer_ok)
        await harness.submit("j", delay_s=60.0)
        request, options = Request("k", "once", 60.0), WaitOptions(delay_s=60.0, durable=True)
        served = asyncio.create_task(harness.job_queue.serve(request, options))
        polled = asyncio.create_task(harness.job_queue.wait("j", 25.0))
        await harness.until(lambda: harness.job_queue.find("k"))
        await harness.job_queue.intake.wait_until_durable()
        trouble(harness, monkeypatch)
        async with asyncio.timeout(5):
            assert await polled is None
            answer = await served
            assert await harness.job_queue.wait("j", 25.0) is None
        assert answer.kind is AnswerKind.FAILED
        assert "its end is not known" in answer.reason
        await harness.durable_store.close()

    play(scene)


def test_http_waiter_of_job_in_doubt_is_released(tmp_path: Path) -> None:
    # Guards against "refused", which promises that the work may be sent again, for a job that may have run.
    async def scene() -> None:
        worker = Worker()
        harness = DurableHarness(tmp_path / "jobs.db", worker.attempt)
        request = Request("k", "once", 60.0)
        options = WaitOptions(durable=True, idempotency_key="key")
        served = asyncio.create_task(harness.job_queue.serve(request, options))
        await worker.running.wait()
        polled = asyncio.create_task(harness.job_queue.wait("k", 25.0))
        await asyncio.sleep(0)
        worker.die()
        async with asyncio.timeout(5):
            answers = [await served, await harness.job_queue.serve(Request("r", "once", 60.0), options)]
            assert await polled is None
        for answer in answers:
            assert answer.kind is AnswerKind.FAILED
            assert answer.run_state is RunState.MAY_BE_RUNNING
        await harness.durable_store.close()

    play(scene)


def test_client_that_joins_a_job_in_doubt_after_a_restart_is_told(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene() -> None:
        worker = Worker()
        scene = Scene(Front(tmp_path / "jobs.db", worker.attempt, monkeypatch))
        job_id = await scene.come_into_doubt(worker)
        await scene.queue.intake.wait_until_durable()
        classes = (FREE, ONCE, *config_classes())
        restarted = Front(tmp_path / "jobs.db", answer_ok, monkeypatch, classes=classes)
        await restarted.harness.recovery.run()
        late = restarted.submit(FOREGROUND)
        assert late.received[0][12:].decode() == job_id
        assert ends(late) == [PacketType.WORK_FAIL]
        assert restarted.harness.sent == []
        await restarted.harness.durable_store.close()
        await scene.front.harness.durable_store.close()

    play(scene)
