"""One connected Gearman worker: its functions and its assignments."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from ..core.request import AttemptOutcome
from ..decision.facade import Result
from .assignment import Assignment
from .codec import encode
from .packet_types import PacketType


class WorkerConnection(Protocol):
    """A worker's connection."""

    address: str  # for operators

    def send(self, data: bytes) -> None:
        """Write to the worker."""


@dataclass(slots=True, eq=False)
class Worker:
    """One connected worker."""

    name: str
    connection: WorkerConnection
    abilities: dict[str, float] = field(default_factory=dict)  # function: its limit in seconds, 0: none
    pending: list[Assignment] = field(default_factory=list)  # assigned, not grabbed yet
    grabbed: dict[bytes, Assignment] = field(default_factory=dict)  # by handle, until it reports their end
    is_asleep: bool = False
    is_announced: bool = False  # as able to do at least one function of the configuration
    client_id: str = "-"

    @property
    def holds_ended_job(self) -> bool:
        """Whether it still works on a job that ended without its report: it grabs no other before that."""
        return any(assignment.is_over for assignment in self.grabbed.values())

    def load_report(self) -> dict[str, float]:
        """Its load report, as other backends send it."""
        return {"free_slots": 0.0 if self.grabbed else 1.0, "waiting": float(len(self.pending))}

    def assign(self, assignment: Assignment) -> None:
        """Give it an attempt to grab; a sleeping worker is woken up."""
        self.pending.append(assignment)
        self._wake()

    def sleep(self) -> None:
        """It sleeps until there is a job for it."""
        self.is_asleep = True
        self._wake()

    def next_pending(self) -> Assignment | None:
        """The assignment that it grabs next: by priority, then in the order of assignment."""
        for assignment in self.pending:
            assignment.end_if_too_late()
        candidates = (assignment for assignment in self.pending if not assignment.is_over)
        return min(candidates, key=lambda assignment: assignment.priority, default=None)

    def reject_ungrabbable(self, reason: str) -> None:
        """End the chosen assignments that it will not grab as rejected, so that they go elsewhere."""
        for assignment in list(self.pending):
            if self.holds_ended_job or assignment.request.target not in self.abilities:
                self.pending.remove(assignment)
                assignment.end(AttemptOutcome(Result.FULL, reason=reason))

    def end_all(self) -> None:
        """End all assignments: its connection has ended."""
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
