"""The waiting room's ledger on a store: each change is on disk before anybody is told of it."""

from __future__ import annotations

import json
import time
from collections.abc import Callable, Sequence
from typing import TypeVar

from ..core.request import Request, RunState
from ..store.database import Database
from ..store.record import JobAccepted, JobEnded, JobState, JobStateChanged, Lease, StoredJob, StoreError
from ..store.writer import LOST, Health, Writer
from ..waiting.ledger import Leases as LeasesOf
from ..waiting.ledger import Recalled
from ..waiting.order import Changed, Code, End, Final, Job, Order, Parent, Rejected, State, When
from .leases import Leases
from .recovery import GRANTED, in_doubt

T = TypeVar("T")
REFUSALS = {
    Health.STALLED: "the store takes nothing: its disk is full or failing",
    Health.BROKEN: "the store is broken",
    Health.FENCED: "another scheduler has this store",
    Health.CLOSED: "the store is closed",
}


class DurableLedger:
    """Words the policy's changes for the store, and the store's jobs for the room."""

    keeps = True

    def __init__(
        self, writer: Writer, run: str, lease_s: float | None = None, wall: Callable[[], float] = time.time
    ) -> None:
        self.leases: LeasesOf | None = Leases(lease_s * 1000) if lease_s is not None else None
        self._writer = writer
        self._wall = wall
        self.run = run
        self._granted: set[int] = set()  # jobs whose grant is on record: their starts are worth a record too

    def refusal(self) -> str:
        """Why it takes no more work; empty: it does."""
        return REFUSALS.get(self._writer.health, "")

    def lost(self) -> str:
        """Why nothing will be recorded any more; empty: it will."""
        return REFUSALS[self._writer.health] if self._writer.health in LOST else ""

    # ---- To the store ----

    def take(self, job: Job, order: Order) -> None:
        """A job is taken."""
        request = order.cargo
        assert isinstance(request, Request)
        parents = json.dumps([[parent.id, parent.when.value] for parent in order.after]).encode()
        self._writer.put(
            JobAccepted(
                job.number, job.id, job.job_class, job.tenant, job.token, job.print, self._wall(),
                order.patience / 1000, order.delay / 1000, job.quiet, job.lift, parents, pack(request),
                request.payload,
            )
        )  # fmt: skip

    def record(self, change: Changed, final: Final | None) -> None:
        """A change of a job that was taken; what a crash would not make us forget is not written."""
        job = change.job
        if final is not None:
            self._granted.discard(job.number)
            end, ran = final.end.value, final.ran.value
            wait, now = final.retry_after, self._wall()
            self._writer.put(JobEnded(job.number, end, ran, final.reason, final.body, wait, now, final.by))
        elif change.state is State.STARTED and job.number in self._granted:
            self._writer.put(JobStateChanged(job.number, JobState.STARTED, job.asks))
        elif change.state is State.DOUBT:
            self._writer.put(JobStateChanged(job.number, JobState.INDETERMINATE, job.asks))
        elif job.number in self._granted and change.state in (State.TIMED, State.READY, State.QUIET):
            self._granted.discard(job.number)  # it surely never began
            self._writer.put(JobStateChanged(job.number, JobState.WAITING, job.asks))

    def grant(self, job: Job, backend: str, lease: str) -> None:
        """A backend is about to have the job."""
        self._granted.add(job.number)
        self._writer.put(
            JobStateChanged(job.number, JobState.GRANTED, job.asks, Lease(lease, backend, self._wall()))
        )

    def when_safe(self, then: Callable[[], None]) -> None:
        """After the commit of all that was recorded so far; never, if there will be none."""
        self._writer.when_durable(then)

    # ---- From the store ----

    async def known(self, orders: Sequence[Order]) -> Sequence[Recalled | None]:
        """For each order the job with its key or its id; raises Rejected if the store can't be asked."""

        def look(database: Database) -> list[tuple[StoredJob, bool] | None]:
            found: list[tuple[StoredJob, bool] | None] = []
            for order in orders:
                stored = database.by_idempotency_key(order.tenant, order.token) if order.token else None
                if stored is not None:
                    found.append((stored, True))
                else:
                    stored = database.find(order.id)
                    found.append((stored, False) if stored else None)
            return found

        found = await self._read(look)
        return [recalled(*known) if known else None for known in found]

    async def recall(self, id_: str) -> Recalled | None:
        """A job by its id."""
        stored = await self._read(lambda database: database.find(id_))
        return recalled(stored, False) if stored else None

    async def _read(self, query: Callable[[Database], T]) -> T:
        try:
            return await self._writer.read(query)
        except StoreError as fault:
            raise Rejected(Code.NOT_KEPT, str(fault), 1.0) from None


def pack(request: Request) -> bytes:
    """What of a request is needed besides its class and payload."""
    fields = {
        "target": request.target,
        "key": request.key,
        "slots": request.slots,
        "extras": dict(request.extras),
    }
    return json.dumps(fields).encode()


def unpack(stored: StoredJob, deadline: float) -> Request:
    """The request of a stored job; `deadline` in seconds is for running it."""
    fields, taken = json.loads(stored.accepted.request), stored.accepted
    return Request(
        id=taken.id, job_class=taken.job_class, timeout_s=deadline, target=fields["target"],
        payload=taken.payload, key=fields["key"], tenant=taken.tenant or None, slots=fields["slots"],
        extras=fields["extras"], idempotency_key=taken.idempotency_key,
    )  # fmt: skip


def parents_of(stored: StoredJob) -> list[Parent]:
    """What a stored job waits for."""
    return [Parent(id_, When(when)) for id_, when in json.loads(stored.accepted.dependencies)]


def recalled(stored: StoredJob, by_token: bool) -> Recalled:
    """A stored job in the room's words, to be told of."""
    taken, end = stored.accepted, stored.ended
    job = Job(
        taken.id, taken.job_class, taken.tenant, len(taken.payload), taken.number, 0.0, 0.0, 0.0, State.HELD,
        taken.wait_for_idle, taken.priority, taken.idempotency_key, taken.fingerprint, None, durable=True,
        asks=stored.submissions,
    )  # fmt: skip
    if end is None:
        if stored.state in GRANTED:
            job.state, job.ran, job.reason = State.DOUBT, RunState.MAY_BE_RUNNING, in_doubt(stored.lease)
        return Recalled(job, None, by_token)
    job.state, job.end, job.ran, job.reason = State.ENDED, End(end.outcome), RunState(end.ran), end.reason
    return Recalled(
        job, Final(job.end, job.ran, end.result, end.reason, end.retry_after_s, end.resolved_by), by_token
    )
