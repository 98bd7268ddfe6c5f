"""The backend transport to Gearman workers. An attempt waits until the selected worker grabs it."""

from __future__ import annotations

import asyncio
import itertools

from ..core.request import AttemptContext, AttemptOutcome, AttemptUpdate, Request, UpdateKind
from ..decision.facade import Result
from .assignment import Assignment
from .codec import encode
from .handles import attempt_handle
from .packet_types import PacketType
from .worker import Worker
from .workers import Workers

UPDATE_KINDS = {
    PacketType.WORK_DATA: UpdateKind.DATA,
    PacketType.WORK_WARNING: UpdateKind.WARNING,
    PacketType.WORK_EXCEPTION: UpdateKind.EXCEPTION,
}
END_RESULTS = {
    PacketType.WORK_COMPLETE: Result.OK,
    PacketType.WORK_FAIL: Result.ERROR,
    PacketType.WORK_EXCEPTION: Result.ERROR,
}
MAX_PROGRESS = 1e15  # numbers in WORK_STATUS count as 0 from this size on


class WorkerTransport:
    """Makes attempts at connected workers."""

    def __init__(self, workers: Workers) -> None:
        self.workers = workers
        self.unfinished_runs = workers.unfinished_runs
        self._numbers = itertools.count(1)  # numbers the attempts

    async def attempt(self, backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
        """Assign a request to the worker `backend` and wait for the outcome."""
        worker = self.workers.connected.get(backend)
        if worker is None or request.target not in worker.abilities:
            return AttemptOutcome(Result.NOT_SENT, reason="worker is gone or can't do it any more")
        handle = attempt_handle(request.id, next(self._numbers), request.lease)
        outcome: asyncio.Future[AttemptOutcome] = asyncio.get_running_loop().create_future()
        assignment = Assignment(handle, request, context, outcome)
        worker.assign(assignment)
        try:
            return await outcome
        finally:
            self._clean_up(worker, assignment)

    def _clean_up(self, worker: Worker, assignment: Assignment) -> None:
        assignment.cancel_timeout()
        if assignment in worker.pending:  # cancelled before it was grabbed
            worker.pending.remove(assignment)
        # The worker is not notified of the end and continues to work on the job.
        if assignment.handle in worker.grabbed and worker.name in self.workers.connected:
            self.workers.announce(worker)
            worker.reject_ungrabbable("worker still works on a job that is over")

    def grab(self, worker: Worker, grab_type: PacketType) -> None:
        """Send the worker its next job, or NO_JOB."""
        worker.is_asleep = False
        assignment = worker.next_pending()
        if assignment is None:
            worker.connection.send(encode(PacketType.NO_JOB))
            return
        worker.pending.remove(assignment)
        worker.grabbed[assignment.handle] = assignment
        record_lease = assignment.request.record_lease
        if record_lease is None:
            self._send(worker, grab_type, assignment)
        else:
            record_lease(worker.name, lambda: self._send(worker, grab_type, assignment))

    def _send(self, worker: Worker, grab_type: PacketType, assignment: Assignment) -> None:
        assignment.end_if_too_late()
        if assignment.is_over:
            self._withdraw(worker, assignment)
            return
        assignment.mark_sent()
        self.unfinished_runs.add(assignment)
        worker.connection.send(assignment.encode(grab_type))
        assignment.start_timeout(worker.abilities.get(assignment.request.target, 0.0))
        assignment.context.on_started()

    def _withdraw(self, worker: Worker, assignment: Assignment) -> None:
        """Answer a grab whose assignment has ended before it was sent."""
        worker.grabbed.pop(assignment.handle, None)
        worker.connection.send(encode(PacketType.NO_JOB))
        if worker.name in self.workers.connected:
            self.workers.announce(worker)

    def apply_update(self, worker: Worker, packet_type: PacketType, arguments: list[bytes]) -> bool:
        """Apply a WORK packet to the assignment that it names.

        Returns:
            False if the worker does not have the job, or reports its end after the attempt was over.
        """
        assignment = worker.grabbed.get(arguments[0])
        if assignment is None:
            return False
        if packet_type is PacketType.WORK_STATUS:
            done, total = (_progress_number(argument) for argument in arguments[1:])
            assignment.context.on_update(AttemptUpdate(UpdateKind.STATUS, done=done, total=total))
        elif packet_type in UPDATE_KINDS and not assignment.is_over:
            assignment.context.on_update(AttemptUpdate(UPDATE_KINDS[packet_type], arguments[1]))
        if packet_type not in END_RESULTS:
            return True
        return self._end(worker, assignment, packet_type, arguments)

    def _end(
        self, worker: Worker, assignment: Assignment, packet_type: PacketType, arguments: list[bytes]
    ) -> bool:
        is_late = assignment.is_over
        del worker.grabbed[assignment.handle]
        self.unfinished_runs.discard(assignment.handle)
        body = arguments[1] if packet_type is PacketType.WORK_COMPLETE else b""
        if is_late:
            self.workers.announce(worker)  # the worker may get another job now
        reason = packet_type.name.lower()
        assignment.end(AttemptOutcome(END_RESULTS[packet_type], body, worker.load_report(), reason))
        return not is_late


def _progress_number(text: bytes) -> float:
    try:
        value = float(text)
    except ValueError:
        return 0.0
    return value if abs(value) < MAX_PROGRESS else 0.0
