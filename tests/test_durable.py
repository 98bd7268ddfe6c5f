"""Durable jobs: recovery after a crash at each point.

A crash is simulated by a successor that takes over the store while the old scheduler still runs.
"""

from __future__ import annotations

import asyncio
import itertools
import math
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
from test_job_queue import Attempt, QueueHarness, answer_error, answer_ok, hang

from oxbowyard.core.request import (
    AttemptContext,
    AttemptOutcome,
    AttemptUpdate,
    Request,
    RunState,
    UpdateKind,
    wait_for_lease_record,
)
from oxbowyard.decision.facade import Result
from oxbowyard.durable.durable_store import DurableStore, StoreOpenError
from oxbowyard.durable.leases import LeaseTable
from oxbowyard.durable.machine_clock import Moment
from oxbowyard.durable.recovered_jobs import RecoveryContext, UnresolvedDependency, recovered_state
from oxbowyard.durable.settings import DurableSettings
from oxbowyard.store.database import Database
from oxbowyard.store.record import (
    JobAccepted,
    JobEnded,
    Lease,
    StoredJob,
    StoredState,
    StoreError,
    StoreFailure,
)
from oxbowyard.waiting.job import (
    Dependency,
    DependencyCondition,
    JobOutcome,
    JobRejectedError,
    JobState,
    RejectionCode,
    WaitOptions,
)

DEADLINES = {"free": 5.0, "once": 5.0}


class DurableHarness:
    """A scheduler over a store; several instances on one path are successive runs of one scheduler."""

    def __init__(
        self,
        path: Path,
        attempt: Attempt,
        lease_s: float | None = None,
        max_store_bytes: int = 1 << 30,
        **more: Any,
    ) -> None:
        self.stepped = 0.0  # offset of the wall clock in seconds
        settings = DurableSettings(str(path), lease_s=lease_s, max_store_bytes=max_store_bytes)
        self.durable_store = DurableStore(settings, True, self.wall)
        self.sent: list[str] = []  # jobs whose last byte was written
        self._attempt = attempt
        self.queue_harness = QueueHarness(self.attempt, journal=self.durable_store.journal, **more)
        self.job_queue = self.queue_harness.job_queue
        self.job_queue.set_last_number(self.durable_store.last_number)
        classes = more.get("classes")
        deadlines_s = {c.name: c.deadline_ms / 1000 for c in classes} if classes else DEADLINES
        self.recovery = self.durable_store.recovery(self.job_queue, deadlines_s)

    def wall(self) -> float:
        return time.time() + self.stepped

    async def attempt(self, backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
        await wait_for_lease_record(request, backend)
        self.sent.append(request.id)
        return await self._attempt(backend, request, context)

    async def submit(self, id_: str, job_class: str = "once", **wait: Any) -> None:
        """Submit a job and return when it is on disk, when a front would acknowledge it."""
        self.queue_harness.submit(id_, job_class, durable=True, **wait)
        await self.job_queue.intake.wait_until_durable()

    async def until(self, condition: Callable[[], Any]) -> None:
        async with asyncio.timeout(10):
            while not condition():
                await asyncio.sleep(0.002)

    def state(self, id_: str) -> JobState | JobOutcome | None:
        job = self.job_queue.find(id_)
        return (job.outcome or job.state) if job else None

    async def find_outcome(self, id_: str) -> JobOutcome | None:
        record = await self.job_queue.find_record(id_)
        return record.result.outcome if record and record.result else None


def play(scene: Callable[[], Awaitable[None]]) -> None:
    async def with_bounded_window() -> None:
        async with asyncio.timeout(30):
            await scene()

    asyncio.run(with_bounded_window())


def test_recovery_after_crash_restores_state_of_each_job(tmp_path: Path) -> None:
    async def scene() -> None:
        path = tmp_path / "jobs.db"
        old = DurableHarness(path, hang)
        await old.submit("done", "once")
        await old.until(lambda: old.sent)
        old._attempt = answer_ok
        await old.submit("ended", "once", idempotency_key="k", fingerprint=b"p")
        await old.until(lambda: "ended" in old.queue_harness.results)
        await old.submit("timed", "once", delay_s=60.0)
        await old.submit("child", "once", dependencies=(Dependency("done", DependencyCondition.ENDED),))
        old._attempt = hang
        await old.submit("preview", "free")
        await old.until(lambda: "preview" in old.sent)

        new = DurableHarness(path, answer_ok)
        await new.recovery.run()
        assert new.state("done") is JobState.INDETERMINATE and new.state("timed") is JobState.SCHEDULED
        assert new.state("child") is JobState.BLOCKED  # its parent is indeterminate
        await new.until(lambda: new.state("preview") is JobOutcome.SERVED)
        assert "done" not in new.sent and new.sent[0].startswith("preview")
        # The old scheduler continues, but it is fenced: it can neither acknowledge nor send a job.
        old._attempt = answer_ok
        with pytest.raises(JobRejectedError) as caught:
            for number in itertools.count():
                await asyncio.sleep(0.01)
                old.queue_harness.submit(f"late{number}", "once", durable=True)
        assert (
            caught.value.code is RejectionCode.STORE_UNAVAILABLE and "another scheduler" in caught.value.text
        )
        assert not [id_ for id_ in old.sent if id_.startswith("late")]
        # A repeated submission gets the stored result.
        assert await new.find_outcome("ended") is JobOutcome.SERVED
        resubmitted = await new.job_queue.intake.find_existing(
            [(Request("x", "once", 5.0), WaitOptions(idempotency_key="k", fingerprint=b"p", durable=True))]
        )
        assert (
            resubmitted is not None and resubmitted[0].job.id == "ended" and resubmitted[0].result is not None
        )
        with pytest.raises(JobRejectedError, match="there is a job ended"):
            await new.job_queue.intake.find_existing(
                [(Request("ended", "once", 5.0), WaitOptions(durable=True))]
            )
        with pytest.raises(JobRejectedError, match="another job"):
            await new.job_queue.intake.find_existing(
                [
                    (
                        Request("x", "once", 5.0),
                        WaitOptions(idempotency_key="k", fingerprint=b"q", durable=True),
                    )
                ]
            )
        assert new.job_queue.resolve("done", "Aiko", JobOutcome.SERVED, b"filed by hand")
        await new.until(lambda: new.state("child") is JobOutcome.SERVED)
        await new.durable_store.close()
        await old.durable_store.close()

        last = DurableHarness(path, answer_ok)
        await last.recovery.run()
        record = await last.job_queue.find_record("done")
        assert record is not None and record.result is not None
        assert (record.result.outcome, record.result.body, record.result.resolved_by) == (
            JobOutcome.SERVED,
            b"filed by hand",
            "Aiko",
        )
        assert last.state("timed") is JobState.SCHEDULED and last.sent == []
        await last.durable_store.close()

    play(scene)


@pytest.mark.parametrize(
    ("point", "sent"), [("before the lease record", False), ("after the lease record", True)]
)
def test_lease_is_on_disk_before_last_byte_is_sent(point: str, sent: bool, tmp_path: Path) -> None:
    """The crash comes before the last byte: the job is indeterminate only if its lease was on disk."""

    async def scene() -> None:
        path = tmp_path / "jobs.db"
        old = DurableHarness(path, answer_ok)
        reached = asyncio.Event()

        async def crash(backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
            if sent:
                await wait_for_lease_record(request, backend)  # crashes before the first byte is written
            reached.set()
            await asyncio.sleep(60)
            raise AssertionError

        old.attempt = crash  # type: ignore[method-assign]
        old.queue_harness._attempt = crash
        await old.submit("a")
        await reached.wait()
        new = DurableHarness(path, answer_ok)
        await new.recovery.run()
        if sent:
            assert new.state("a") is JobState.INDETERMINATE and new.sent == []
        else:
            await new.until(lambda: new.state("a") is JobOutcome.SERVED)
        await new.durable_store.close()
        await old.durable_store.close()

    play(scene)


def test_job_of_silent_worker_is_indeterminate_until_resolved(tmp_path: Path) -> None:
    async def scene() -> None:
        harness = DurableHarness(tmp_path / "jobs.db", hang)
        leases: dict[str, str] = {}

        async def silent(backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
            leases[request.id] = request.lease
            context.is_last_byte_written = True
            return AttemptOutcome(Result.RESET)

        harness._attempt = silent
        ids = ("late", "returned", "wrong", "word")
        for id_ in ids:
            await harness.submit(id_, delay_s=0.05 if id_ == "word" else 0.0)
        assert await harness.job_queue.wait("word", 20.0) is None  # a poll ends when the job is indeterminate
        await harness.submit("child", dependencies=(Dependency("late"),))
        await harness.until(lambda: all(harness.state(id_) is JobState.INDETERMINATE for id_ in ids))
        assert harness.state("child") is JobState.BLOCKED
        job_queue = harness.job_queue
        assert not job_queue.deliver_late_result(
            "late", leases["wrong"], JobOutcome.SERVED, b"x"
        )  # lease of another job
        assert not job_queue.deliver_late_result("late", "", JobOutcome.SERVED, b"x")
        harness._attempt = answer_ok
        assert job_queue.deliver_late_result("late", leases["late"], JobOutcome.SERVED, b"filed")
        assert not job_queue.deliver_late_result(
            "late", leases["late"], JobOutcome.FAILED, b""
        )  # a second result is ignored
        assert not job_queue.resolve("late", "Aiko", JobOutcome.FAILED)  # it has ended already
        await harness.until(lambda: harness.state("child") is JobOutcome.SERVED)
        assert harness.queue_harness.results["late"].body == b"filed"
        assert job_queue.deliver_late_result(
            "returned", leases["returned"], None
        )  # it never began: it is submitted again
        await harness.until(lambda: harness.state("returned") is JobOutcome.SERVED)
        assert job_queue.resolve("word", "Aiko", None)
        await harness.until(lambda: harness.state("word") is JobOutcome.SERVED)
        assert [x.partition("~")[0] for x in harness.sent].count("returned") == 2 and len(
            set(harness.sent)
        ) == 7
        with pytest.raises(ValueError, match="name"):
            job_queue.resolve("wrong", "", JobOutcome.SERVED)
        assert (
            set(harness.queue_harness.ends.values()) == {1}
            and harness.state("wrong") is JobState.INDETERMINATE
        )
        await harness.durable_store.close()

    play(scene)


def test_expired_lease_reruns_idempotent_job_and_makes_others_indeterminate(tmp_path: Path) -> None:
    async def scene() -> None:
        async def report_progress(backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
            context.is_last_byte_written = True
            context.on_started()
            if request.id == "talks":
                for _ in range(8):
                    await asyncio.sleep(0.1)
                    context.on_update(AttemptUpdate(UpdateKind.STATUS, done=0.1))
                return AttemptOutcome(Result.OK)
            if "~" in request.id:
                return AttemptOutcome(Result.OK)
            await asyncio.sleep(60)
            raise AssertionError

        harness = DurableHarness(tmp_path / "jobs.db", report_progress, lease_s=0.3)
        for id_, job_class in (("talks", "once"), ("silent", "once"), ("preview", "free")):
            await harness.submit(id_, job_class)
        for hours in (-1.0, 24.0):  # the wall clock steps while the leases run
            harness.stepped = hours * 3600
            await asyncio.sleep(0.05)
        assert harness.state("silent") is JobState.STARTED and harness.state("talks") is JobState.STARTED
        await harness.until(lambda: harness.state("silent") is JobState.INDETERMINATE)
        record = await harness.job_queue.find_record("silent")
        assert record is not None and "it was with w" in record.job.reason
        await harness.until(lambda: harness.state("preview") is JobOutcome.SERVED)
        await harness.until(lambda: harness.state("talks") is JobOutcome.SERVED)
        assert [x.partition("~")[0] for x in harness.sent].count("silent") == 1
        await harness.durable_store.close()

    play(scene)


def test_leases_expire_in_order_and_once() -> None:
    leases = LeaseTable(100.0)
    for at, job in enumerate("abc"):
        leases.begin(float(at), job)
    leases.renew(50.0, "a")
    leases.renew(50.0, "nobody")
    assert (
        leases.next_expiry_ms() == 101.0
        and leases.take_expired(101.5) == ["b"]
        and leases.take_expired(101.5) == []
    )
    leases.renew(101.6, "b")  # expired already
    leases.end("c")
    assert leases.take_expired(1000.0) == ["a"] and leases.next_expiry_ms() is None


def test_recovery_leaves_jobs_on_disk_while_memory_is_full(tmp_path: Path) -> None:
    async def scene() -> None:
        path = tmp_path / "jobs.db"
        old = DurableHarness(path, answer_ok)
        for i in range(40):
            await old.submit(f"j{i}", delay_s=60.0 if i < 10 else 0.5)
        new = DurableHarness(path, answer_ok, max_jobs=20)
        new.recovery._page_size = 5
        recovery_task = asyncio.create_task(new.recovery.run())
        await new.until(lambda: new.job_queue.held.jobs == 20)
        await asyncio.sleep(0.05)
        assert new.state("j30") is None and (await new.job_queue.find_record("j30")) is not None
        await recovery_task  # recovery continues as jobs end
        await new.until(lambda: all(new.state(f"j{i}") is JobOutcome.SERVED for i in range(10, 40)))
        await new.durable_store.close()
        await old.durable_store.close()

    play(scene)


def test_error_answer_of_worker_ends_job_as_failed(tmp_path: Path) -> None:
    async def scene() -> None:
        harness = DurableHarness(tmp_path / "jobs.db", answer_error)
        await harness.submit("a")
        await harness.until(lambda: harness.state("a") is JobOutcome.FAILED)
        await harness.durable_store.close()

    play(scene)


def test_crashes_during_recovery_lose_no_job(tmp_path: Path) -> None:
    async def scene() -> None:
        path = tmp_path / "jobs.db"
        harness = DurableHarness(path, hang)
        for i in range(30):
            await harness.submit(f"j{i}", delay_s=0.0 if i < 4 else 60.0)
        await harness.until(lambda: len(harness.sent) == 4)
        harness.job_queue.stop()
        for _ in range(2):
            harness = DurableHarness(path, answer_ok)
            harness.recovery._page_size = 6
            recovery_task = asyncio.create_task(harness.recovery.run())
            while harness.state("j5") is None:
                await asyncio.sleep(0.001)
            with pytest.raises(JobRejectedError) as caught:  # the parent may not be recovered yet
                harness.queue_harness.submit("c", "once", dependencies=(Dependency("j29"),), durable=True)
            assert caught.value.code is RejectionCode.RECOVERING
            recovery_task.cancel()
        harness = DurableHarness(path, answer_ok)
        await harness.recovery.run()
        states = [harness.state(f"j{i}") for i in range(30)]
        assert states == [JobState.INDETERMINATE] * 4 + [JobState.SCHEDULED] * 26 and harness.sent == []
        harness.queue_harness.submit("c", "once", dependencies=(Dependency("j29"),), durable=True)
        await harness.durable_store.close()

    play(scene)


def test_broken_store_rejects_waiting_submissions_and_allows_shutdown(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def damaged(self: Database, changes: Any) -> None:
        raise StoreError(StoreFailure.DAMAGED, "injected")

    async def scene() -> None:
        harness = DurableHarness(tmp_path / "jobs.db", hang)
        await harness.submit("before", delay_s=60.0)
        monkeypatch.setattr(Database, "apply", damaged)
        with pytest.raises(JobRejectedError, match="broken; it is not known") as caught:
            await harness.submit("a")
        assert caught.value.code is RejectionCode.STORE_UNAVAILABLE and caught.value.retry_after_s > 0
        with pytest.raises(
            JobRejectedError, match="the store is broken"
        ):  # later submissions are rejected at once
            await harness.submit("b")
        with pytest.raises(JobRejectedError, match="not known"):
            await harness.job_queue.intake.wait_until_durable()
        assert (
            harness.sent == [] and harness.state("a") is JobState.SUBMITTED
        )  # not sent, as its lease is not recorded
        harness.queue_harness.submit("plain", "free")  # jobs without the store still run
        await harness.until(lambda: "plain" in harness.sent)
        harness.job_queue.cancel("plain")
        harness.job_queue.stop()
        await harness.job_queue.wait_until_idle()
        await harness.durable_store.close()

    play(scene)


def test_submission_repeated_with_id_and_key_is_stored_once(tmp_path: Path) -> None:
    async def scene() -> None:
        harness = DurableHarness(tmp_path / "jobs.db", answer_ok)
        for _ in range(3):
            await harness.submit("a", delay_s=60.0, idempotency_key="k", fingerprint=b"p")
        assert harness.durable_store.journal.rejection_reason() == "" and harness.job_queue.held.jobs == 1
        await harness.durable_store.close()

    play(scene)


def test_jobs_of_removed_class_stay_in_store(tmp_path: Path) -> None:
    async def scene() -> None:
        path = tmp_path / "jobs.db"
        harness = DurableHarness(path, answer_ok)
        await harness.submit("a", "free", delay_s=60.0)
        await harness.durable_store.close()
        new = DurableHarness(path, answer_ok)
        new.recovery._deadlines_s = {"once": 5.0}
        await new.recovery.run()
        assert new.state("a") is None and new.recovery.counts.unknown_class == 1
        assert (await new.job_queue.find_record("a")) is not None
        await new.durable_store.close()

    play(scene)


def test_store_open_failure_is_reported_in_one_line(tmp_path: Path) -> None:
    async def scene() -> None:
        path = tmp_path / "jobs.db"
        keeping = DurableStore(DurableSettings(str(path)))
        with pytest.raises(StoreOpenError, match="store: locked: another program"):
            DurableStore(DurableSettings(str(path)))
        await keeping.close()
        with pytest.raises(StoreOpenError, match="store: read only"):
            DurableStore(DurableSettings(str(tmp_path / "none" / "jobs.db")))

    play(scene)


def stored(state: StoredState, max_wait_s: float = 100.0, delay_s: float = 0.0) -> StoredJob:
    accepted = JobAccepted(
        1, "j", "once", "", "", b"", 1000.0, max_wait_s, delay_s, False, None, b"[]", b"{}", b""
    )
    lease = Lease("l", "w1", 1005.0) if state is StoredState.GRANTED else None
    return StoredJob(accepted, state, 1, lease, None)


def unknown(id_: str) -> UnresolvedDependency:
    return UnresolvedDependency.UNKNOWN


@pytest.mark.parametrize(
    ("now", "max_wait_s", "delay_s"),
    [(1040.0, 60.0, 10.0), (1200.0, 0.0, 0.0), (-2600.0, 100.0, 50.0)],  # the wall clock stepped back an hour
)
def test_remaining_max_wait_and_delay_after_restart(now: float, max_wait_s: float, delay_s: float) -> None:
    context = RecoveryContext(Moment(now), repeat_window_s=0.0)
    found = recovered_state(stored(StoredState.WAITING, delay_s=50.0), [], unknown, context)
    assert (found.max_wait_s, found.delay_s, found.indeterminate_reason) == (max_wait_s, delay_s, "")


def test_recovery_resolves_dependencies_that_have_ended() -> None:
    ends: dict[str, JobEnded | UnresolvedDependency] = {
        "served": JobEnded(2, "served", "yes", "", b"", 0.0, 1.0),
        "failed": JobEnded(3, "failed", "maybe", "", b"", 0.0, 1.0),
        "open": JobEnded(4, "cancelled", "open", "", b"", 0.0, 1.0),
        "going on": UnresolvedDependency.OPEN,
    }

    context = RecoveryContext(Moment(1001.0), repeat_window_s=math.inf)

    def after(*dependencies: Dependency) -> tuple[tuple[str, ...], str]:
        job = stored(StoredState.SUBMITTED)
        found = recovered_state(job, dependencies, lambda id_: ends.get(id_) or unknown(id_), context)
        return tuple(dependency.id for dependency in found.dependencies), found.failed_dependency

    assert after(Dependency("served"), Dependency("going on")) == (("going on",), "")
    assert after(Dependency("failed")) == ((), "failed")
    assert after(Dependency("failed", DependencyCondition.ENDED)) == ((), "")
    assert after(Dependency("open", DependencyCondition.ENDED)) == ((), "open")
    assert after(Dependency("forgotten")) == ((), "forgotten")
    reason = recovered_state(stored(StoredState.GRANTED), [], unknown, context).indeterminate_reason
    assert "w1" in reason and "1970-01-01T00:16:45" in reason
    assert RunState("open") is RunState.MAY_BE_RUNNING
