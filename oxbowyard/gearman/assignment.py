"""An assignment: one attempt of a job at a Gearman worker, from its selection to its outcome."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from ..core.request import AttemptContext, AttemptOutcome, Request, reason_not_to_send
from ..decision.facade import Result
from .codec import encode
from .job import PRIORITY_EXTRA, UNIQUE_ENCODING, UNIQUE_EXTRA, Priority
from .packet_types import PacketType


@dataclass(slots=True, eq=False)
class Assignment:
    """One attempt of a job at a worker. The worker is selected first and grabs the job later."""

    handle: bytes  # of this attempt, not of the job: a worker may still report an earlier one
    request: Request
    context: AttemptContext
    outcome: asyncio.Future[AttemptOutcome]
    is_sent: bool = False
    timeout: asyncio.TimerHandle | None = None  # of the worker's own time limit for the function

    @property
    def priority(self) -> int:
        """The priority among the assignments of a worker. The lowest number is grabbed first."""
        return int(self.request.extras.get(PRIORITY_EXTRA, Priority.NORMAL.value))

    @property
    def is_over(self) -> bool:
        """Whether the outcome of the attempt is set."""
        return self.outcome.done()

    def end(self, outcome: AttemptOutcome) -> None:
        """Set the outcome, unless one is set already."""
        self.cancel_timeout()
        if not self.outcome.done():
            self.outcome.set_result(outcome)

    def end_if_too_late(self) -> None:
        """End the assignment unsent if its client has disconnected, it was cancelled or its time is over."""
        if not self.is_over and (reason := reason_not_to_send(self.request, self.context)):
            self.end(AttemptOutcome(Result.NOT_SENT, reason=reason))

    def mark_sent(self) -> None:
        """Record that the job is being sent to the worker, and may run from now on."""
        self.is_sent = True
        self.context.is_last_byte_written = True

    def start_timeout(self, limit_s: float) -> None:
        """Make the attempt fail after the worker's own time limit. With a limit of 0 there is none."""
        if limit_s > 0:
            outcome = AttemptOutcome(Result.ERROR, reason="worker's own limit")
            self.timeout = asyncio.get_running_loop().call_later(limit_s, self.end, outcome)

    def cancel_timeout(self) -> None:
        """Stop the timer of the worker's own time limit."""
        if self.timeout is not None:
            self.timeout.cancel()

    def encode(self, grab_type: PacketType) -> bytes:
        """Return the packet that answers a grab of this type."""
        function = self.request.target.encode()
        unique = self.request.extras.get(UNIQUE_EXTRA, "").encode(UNIQUE_ENCODING)
        payload = self.request.payload
        if grab_type is PacketType.GRAB_JOB_UNIQ:
            return encode(PacketType.JOB_ASSIGN_UNIQ, self.handle, function, unique, payload)
        if grab_type is PacketType.GRAB_JOB_ALL:
            no_reducer = b""
            return encode(PacketType.JOB_ASSIGN_ALL, self.handle, function, unique, no_reducer, payload)
        return encode(PacketType.JOB_ASSIGN, self.handle, function, payload)
