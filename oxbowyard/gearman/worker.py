"""A connected Gearman worker with its functions and assignments."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from ..core.request import AttemptOutcome
from ..decision.facade import Result
from .assignment import Assignment
from .codec import encode
from .packet_types import PacketType


class WorkerConnection(Protocol):
    """The connection of a worker."""

    address: str  # as shown to operators

    def send(self, data: bytes) -> None:
        """Send data to the worker."""


@dataclass(slots=True, eq=False)
class Worker:
    """One connected worker."""

    name: str
    connection: WorkerConnection
    abilities: dict[str, float] = field(default_factory=dict)  # time limit in s by function, 0: none
    pending: list[Assignment] = field(default_factory=list)  # assigned but not grabbed yet
    grabbed: dict[bytes, Assignment] = field(default_factory=dict)  # by handle, until reported as ended
    is_asleep: bool = False
    is_announced: bool = False  # as capable of at least one configured function
    client_id: str = "-"

    @property
    def holds_ended_job(self) -> bool:
        """Whether the worker is busy with a job that ended without its report, and grabs no other yet."""
        return any(assignment.is_over for assignment in self.grabbed.values())

    def load_report(self) -> dict[str, float]:
        """Return a load report in the form that other backends send."""
        return {"free_slots": 0.0 if self.grabbed else 1.0, "waiting": float(len(self.pending))}

    def assign(self, assignment: Assignment) -> None:
        """Assign an attempt for the worker to grab, and wake the worker if it sleeps."""
        self.pending.append(assignment)
        self._wake()

    def sleep(self) -> None:
        """Let the worker sleep until there is a job for it."""
        self.is_asleep = True
        self._wake()

    def next_pending(self) -> Assignment | None:
        """Return the assignment to grab next, by priority and then in order of assignment; None if none."""
        for assignment in self.pending:
            assignment.end_if_too_late()
        candidates = (assignment for assignment in self.pending if not assignment.is_over)
        return min(candidates, key=lambda assignment: assignment.priority, default=None)

    def reject_ungrabbable(self, reason: str) -> None:
        """End as rejected the assignments that the worker will not grab, so that the jobs go elsewhere."""
        for assignment in list(self.pending):
            if self.holds_ended_job or assignment.request.target not in self.abilities:
                self.pending.remove(assignment)
                assignment.end(AttemptOutcome(Result.FULL, reason=reason))

    def end_all(self) -> None:
        """End all assignments after the worker's connection has ended."""
        for assignment in self.pending:
            outcome = AttemptOutcome(Result.UNREACHABLE, reason="worker left before it took the job")
            assignment.end(outcome)
        for assignment in self.grabbed.values():
            if assignment.is_sent:
                outcome = AttemptOutcome(Result.RESET, reason="worker lost with the job")
            else:
                outcome = AttemptOutcome(Result.UNREACHABLE, reason="worker left before the job was sent")
            assignment.end(outcome)

    def _wake(self) -> None:
        if self.is_asleep and self.pending:
            self.is_asleep = False
            self.connection.send(encode(PacketType.NOOP))
