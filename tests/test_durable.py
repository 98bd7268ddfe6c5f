"""Durable jobs: a crash at each point, and the way back. A crash is a successor that takes the store over."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
from test_waiting_room import Attempt, Stage, error, hangs, served

from oxbowyard.core.request import (
    AttemptContext,
    AttemptOutcome,
    AttemptUpdate,
    Request,
    RunState,
    UpdateKind,
    lease_recorded,
)
from oxbowyard.decision.facade import Result
from oxbowyard.durable.keeping import Keeping, NotOpened
from oxbowyard.durable.leases import Leases
from oxbowyard.durable.recovery import place
from oxbowyard.durable.settings import DurableSettings
from oxbowyard.store.database import Database
from oxbowyard.store.record import JobAccepted, JobEnded, JobState, Lease, StoredJob, StoreError, StoreFailure
from oxbowyard.waiting.order import Code, End, Parent, Rejected, State, Wait, When

DEADLINES = {"free": 5.0, "once": 5.0}


class Kept_:
    """A scheduler on a store; several after each other are runs of one."""

    def __init__(self, path: Path, attempt: Attempt, lease_s: float | None = None, **more: Any) -> None:
        self.stepped = 0.0  # by the system's clock
        self.keeping = Keeping(DurableSettings(str(path), lease_s=lease_s), True, self.wall)
        self.sent: list[str] = []  # jobs whose last byte was written
        self._attempt = attempt
        self.stage = Stage(self.attempt, ledger=self.keeping.ledger, **more)
        self.room = self.stage.room
        self.room.number_from(self.keeping.last_number)
        self.recovery = self.keeping.recovery(self.room, DEADLINES)

    def wall(self) -> float:
        return time.time() + self.stepped

    async def attempt(self, backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
        await lease_recorded(request, backend)
        self.sent.append(request.id)
        return await self._attempt(backend, request, context)

    async def hand_in(self, id_: str, job_class: str = "once", **wait: Any) -> None:
        """As a front does: acknowledged once it is on disk."""
        self.stage.hand_in(id_, job_class, durable=True, **wait)
        await self.room.safe()

    async def until(self, condition: Callable[[], Any]) -> None:
        async with asyncio.timeout(10):
            while not condition():
                await asyncio.sleep(0.002)

    def state(self, id_: str) -> State | End | None:
        job = self.room.find(id_)
        return (job.end or job.state) if job else None

    async def final(self, id_: str) -> End | None:
        known = await self.room.recall(id_)
        return known.final.end if known and known.final else None


def play(scene: Callable[[], Awaitable[None]]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(30):
            await scene()

    asyncio.run(bounded())


def test_after_a_crash_each_job_is_where_it_surely_is(tmp_path: Path) -> None:
    async def scene() -> None:
        path = tmp_path / "jobs.db"
        old = Kept_(path, hangs)
        await old.hand_in("done", "once")
        await old.until(lambda: old.sent)
        old._attempt = served
        await old.hand_in("ended", "once", token="k", print=b"p")
        await old.until(lambda: "ended" in old.stage.finals)
        await old.hand_in("timed", "once", delay=60.0)
        await old.hand_in("child", "once", after=(Parent("done", When.ENDED),))
        old._attempt = hangs
        await old.hand_in("preview", "free")
        await old.until(lambda: "preview" in old.sent)

        new = Kept_(path, served)
        await new.recovery.run()
        assert new.state("done") is State.DOUBT and new.state("timed") is State.TIMED
        assert new.state("child") is State.HELD  # its parent is neither served nor ended
        await new.until(lambda: new.state("preview") is End.SERVED)
        assert "done" not in new.sent and new.sent[0].startswith("preview")
        # The old one goes on, and can tell nobody anything any more.
        old._attempt = served
        with pytest.raises(Rejected) as caught:
            while True:
                await asyncio.sleep(0.01)
                old.stage.hand_in(f"late{len(old.stage.attempts)}", "once", durable=True)
        assert caught.value.code is Code.NOT_KEPT and "another scheduler" in caught.value.text
        assert not [id_ for id_ in old.sent if id_.startswith("late")]
        # Whoever asks again finds the one answer there is.
        assert await new.final("ended") is End.SERVED
        again = await new.room.look_up(
            [(Request("x", "once", 5.0), Wait(token="k", print=b"p", durable=True))]
        )
        assert again is not None and again[0].job.id == "ended" and again[0].final is not None
        with pytest.raises(Rejected, match="there is a job ended"):
            await new.room.look_up([(Request("ended", "once", 5.0), Wait(durable=True))])
        with pytest.raises(Rejected, match="another job"):
            await new.room.look_up([(Request("x", "once", 5.0), Wait(token="k", print=b"q", durable=True))])
        assert new.room.resolve("done", "Aiko", End.SERVED, b"filed by hand")
        await new.until(lambda: new.state("child") is End.SERVED)
        await new.keeping.close()
        await old.keeping.close()

        last = Kept_(path, served)
        await last.recovery.run()
        known = await last.room.recall("done")
        assert known is not None and known.final is not None
        assert (known.final.end, known.final.body, known.final.by) == (End.SERVED, b"filed by hand", "Aiko")
        assert last.state("timed") is State.TIMED and last.sent == []
        await last.keeping.close()

    play(scene)


@pytest.mark.parametrize(("point", "sent"), [("before the grant", False), ("after the grant", True)])
def test_a_grant_is_on_disk_before_the_last_byte(point: str, sent: bool, tmp_path: Path) -> None:
    """The crash comes between a grant and its bytes: the job may have run only if the grant was on disk."""

    async def scene() -> None:
        path = tmp_path / "jobs.db"
        old = Kept_(path, served)
        reached = asyncio.Event()

        async def crash(backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
            if sent:
                await lease_recorded(request, backend)  # and then no byte is written
            reached.set()
            await asyncio.sleep(60)
            raise AssertionError

        old.attempt = crash  # type: ignore[method-assign]
        old.stage._attempt = crash
        await old.hand_in("a")
        await reached.wait()
        new = Kept_(path, served)
        await new.recovery.run()
        if sent:
            assert new.state("a") is State.DOUBT and new.sent == []
        else:
            await new.until(lambda: new.state("a") is End.SERVED)
        await new.keeping.close()
        await old.keeping.close()

    play(scene)


def test_a_silent_worker_leaves_doubt_until_there_is_proof(tmp_path: Path) -> None:
    async def scene() -> None:
        kept = Kept_(tmp_path / "jobs.db", hangs)
        leases: dict[str, str] = {}

        async def silent(backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
            leases[request.id] = request.lease
            context.written = True
            return AttemptOutcome(Result.RESET)

        kept._attempt = silent
        ids = ("late", "returned", "wrong", "word")
        for id_ in ids:
            await kept.hand_in(id_, delay=0.05 if id_ == "word" else 0.0)
        assert await kept.room.wait("word", 20.0) is None  # a poll ends with the doubt, not with its time
        await kept.hand_in("child", after=(Parent("late"),))
        await kept.until(lambda: all(kept.state(id_) is State.DOUBT for id_ in ids))
        assert kept.state("child") is State.HELD
        room = kept.room
        assert not room.deliver("late", leases["wrong"], End.SERVED, b"x")  # another's lease
        assert not room.deliver("late", "", End.SERVED, b"x")
        kept._attempt = served
        assert room.deliver("late", leases["late"], End.SERVED, b"filed")
        assert not room.deliver("late", leases["late"], End.FAILED, b"")  # twice
        assert not room.resolve("late", "Aiko", End.FAILED)  # too late: it has its end
        await kept.until(lambda: kept.state("child") is End.SERVED)
        assert kept.stage.finals["late"].body == b"filed"
        assert room.deliver("returned", leases["returned"], None)  # it never began: it may go on
        await kept.until(lambda: kept.state("returned") is End.SERVED)
        assert room.resolve("word", "Aiko", None)
        await kept.until(lambda: kept.state("word") is End.SERVED)
        assert [x.partition("~")[0] for x in kept.sent].count("returned") == 2 and len(set(kept.sent)) == 7
        with pytest.raises(ValueError, match="name"):
            room.resolve("wrong", "", End.SERVED)
        assert set(kept.stage.ends.values()) == {1} and kept.state("wrong") is State.DOUBT
        await kept.keeping.close()

    play(scene)


def test_a_lease_that_lapses_frees_what_may_be_repeated_and_doubts_the_rest(tmp_path: Path) -> None:
    async def scene() -> None:
        async def tells(backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
            context.written = True
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

        kept = Kept_(tmp_path / "jobs.db", tells, lease_s=0.3)
        for id_, job_class in (("talks", "once"), ("silent", "once"), ("preview", "free")):
            await kept.hand_in(id_, job_class)
        for hours in (-1.0, 24.0):  # the clock steps while the leases run
            kept.stepped = hours * 3600
            await asyncio.sleep(0.05)
        assert kept.state("silent") is State.STARTED and kept.state("talks") is State.STARTED
        await kept.until(lambda: kept.state("silent") is State.DOUBT)
        known = await kept.room.recall("silent")
        assert known is not None and "it was with w" in known.job.reason
        await kept.until(lambda: kept.state("preview") is End.SERVED)
        await kept.until(lambda: kept.state("talks") is End.SERVED)
        assert [x.partition("~")[0] for x in kept.sent].count("silent") == 1
        await kept.keeping.close()

    play(scene)


def test_leases_lapse_in_order_and_once() -> None:
    leases = Leases(100.0)
    for at, job in enumerate("abc"):
        leases.begin(float(at), job)
    leases.heard(50.0, "a")
    leases.heard(50.0, "nobody")
    assert leases.next_due() == 101.0 and leases.lapsed(101.5) == ["b"] and leases.lapsed(101.5) == []
    leases.heard(101.6, "b")  # too late
    leases.end("c")
    assert leases.lapsed(1000.0) == ["a"] and leases.next_due() is None


def test_a_full_memory_leaves_the_rest_on_disk(tmp_path: Path) -> None:
    async def scene() -> None:
        path = tmp_path / "jobs.db"
        old = Kept_(path, served)
        for i in range(40):
            await old.hand_in(f"j{i}", delay=60.0 if i < 10 else 0.5)
        new = Kept_(path, served, max_jobs=20)
        new.recovery._at_once = 5
        back = asyncio.create_task(new.recovery.run())
        await new.until(lambda: new.room.held.jobs == 20)
        await asyncio.sleep(0.05)
        assert new.state("j30") is None and (await new.room.recall("j30")) is not None
        await back  # as the first ones end, the rest comes
        await new.until(lambda: all(new.state(f"j{i}") is End.SERVED for i in range(10, 40)))
        await new.keeping.close()
        await old.keeping.close()

    play(scene)


def test_a_workers_own_failure_is_an_end_and_no_doubt(tmp_path: Path) -> None:
    async def scene() -> None:
        kept = Kept_(tmp_path / "jobs.db", error)
        await kept.hand_in("a")
        await kept.until(lambda: kept.state("a") is End.FAILED)
        await kept.keeping.close()

    play(scene)


def test_a_crash_during_recovery_and_during_that_one(tmp_path: Path) -> None:
    async def scene() -> None:
        path = tmp_path / "jobs.db"
        kept = Kept_(path, hangs)
        for i in range(30):
            await kept.hand_in(f"j{i}", delay=0.0 if i < 4 else 60.0)
        await kept.until(lambda: len(kept.sent) == 4)
        kept.room.wind_down()
        for _ in range(2):
            kept = Kept_(path, served)
            kept.recovery._at_once = 6
            back = asyncio.create_task(kept.recovery.run())
            while kept.state("j5") is None:
                await asyncio.sleep(0.001)
            with pytest.raises(Rejected) as caught:  # a parent that may not be back yet
                kept.stage.hand_in("c", "once", after=(Parent("j29"),), durable=True)
            assert caught.value.code is Code.RECOVERING
            back.cancel()
        kept = Kept_(path, served)
        await kept.recovery.run()
        states = [kept.state(f"j{i}") for i in range(30)]
        assert states == [State.DOUBT] * 4 + [State.TIMED] * 26 and kept.sent == []
        kept.stage.hand_in("c", "once", after=(Parent("j29"),), durable=True)
        await kept.keeping.close()

    play(scene)


def test_a_store_that_breaks_tells_whoever_waits_and_lets_the_program_stop(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def damaged(self: Database, changes: Any) -> None:
        raise StoreError(StoreFailure.DAMAGED, "injected")

    async def scene() -> None:
        kept = Kept_(tmp_path / "jobs.db", hangs)
        await kept.hand_in("before", delay=60.0)
        monkeypatch.setattr(Database, "apply", damaged)
        with pytest.raises(Rejected, match="broken; it is not known") as caught:
            await kept.hand_in("a")
        assert caught.value.code is Code.NOT_KEPT and caught.value.retry_after > 0
        with pytest.raises(Rejected, match="the store is broken"):  # from now on at once
            await kept.hand_in("b")
        with pytest.raises(Rejected, match="not known"):
            await kept.room.safe()
        assert kept.sent == [] and kept.state("a") is State.ASKED  # never sent: its grant is nowhere
        kept.stage.hand_in("plain", "free")  # what needs no store goes on
        await kept.until(lambda: "plain" in kept.sent)
        kept.room.cancel("plain")
        kept.room.wind_down()
        await kept.room.idle()
        await kept.keeping.close()

    play(scene)


def test_a_hand_in_repeated_with_its_id_and_key_is_stored_once(tmp_path: Path) -> None:
    async def scene() -> None:
        kept = Kept_(tmp_path / "jobs.db", served)
        for _ in range(3):
            await kept.hand_in("a", delay=60.0, token="k", print=b"p")
        assert kept.keeping.ledger.refusal() == "" and kept.room.held.jobs == 1
        await kept.keeping.close()

    play(scene)


def test_a_class_that_is_gone_keeps_its_jobs_in_the_store(tmp_path: Path) -> None:
    async def scene() -> None:
        path = tmp_path / "jobs.db"
        kept = Kept_(path, served)
        await kept.hand_in("a", "free", delay=60.0)
        await kept.keeping.close()
        new = Kept_(path, served)
        new.recovery._deadlines = {"once": 5.0}
        await new.recovery.run()
        assert new.state("a") is None and new.recovery.strangers == 1
        assert (await new.room.recall("a")) is not None
        await new.keeping.close()

    play(scene)


def test_a_store_that_can_not_be_opened_is_one_line(tmp_path: Path) -> None:
    async def scene() -> None:
        path = tmp_path / "jobs.db"
        keeping = Keeping(DurableSettings(str(path)))
        with pytest.raises(NotOpened, match="store: locked: another program"):
            Keeping(DurableSettings(str(path)))
        await keeping.close()
        with pytest.raises(NotOpened, match="store: read only"):
            Keeping(DurableSettings(str(tmp_path / "none" / "jobs.db")))

    play(scene)


def stored(kept: JobState, patience: float = 100.0, delay: float = 0.0) -> StoredJob:
    taken = JobAccepted(1, "j", "once", "", "", b"", 1000.0, patience, delay, False, None, b"[]", b"{}", b"")
    lease = Lease("l", "w1", 1005.0) if kept is JobState.GRANTED else None
    return StoredJob(taken, kept, 1, lease, None)


@pytest.mark.parametrize(
    ("now", "patience", "delay"),
    [(1040.0, 60.0, 10.0), (1200.0, 0.0, 0.0), (-2600.0, 100.0, 50.0)],  # the clock stepped back an hour
)
def test_what_is_left_to_a_job_after_a_restart(now: float, patience: float, delay: float) -> None:
    found = place(stored(JobState.WAITING, delay=50.0), [], lambda id_: False, now)
    assert (found.patience, found.delay, found.doubt) == (patience, delay, "")


def test_parents_that_ended_while_nobody_ran() -> None:
    ends: dict[str, JobEnded | bool] = {
        "served": JobEnded(2, "served", "yes", "", b"", 0.0, 1.0),
        "failed": JobEnded(3, "failed", "maybe", "", b"", 0.0, 1.0),
        "open": JobEnded(4, "cancelled", "open", "", b"", 0.0, 1.0),
        "going on": True,
    }

    def after(*parents: Parent) -> tuple[tuple[str, ...], str]:
        found = place(stored(JobState.SUBMITTED), parents, lambda id_: ends.get(id_, False), 1001.0)
        return tuple(parent.id for parent in found.after), found.orphaned_by

    assert after(Parent("served"), Parent("going on")) == (("going on",), "")
    assert after(Parent("failed")) == ((), "failed")
    assert after(Parent("failed", When.ENDED)) == ((), "")
    assert after(Parent("open", When.ENDED)) == ((), "open")
    assert after(Parent("forgotten")) == ((), "forgotten")
    doubt = place(stored(JobState.GRANTED), [], lambda id_: False, 1001.0).doubt
    assert "w1" in doubt and "1970-01-01T00:16:45" in doubt
    assert RunState("open") is RunState.MAY_BE_RUNNING
