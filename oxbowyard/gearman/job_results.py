"""Sends progress and results of jobs to their clients."""

from __future__ import annotations

import logging

from ..core.request import Answer, AnswerKind, AttemptUpdate, RunState, UpdateKind
from ..waiting.job import JobOutcome, JobResult, WaitAbandoned
from .codec import encode
from .job import Job, Progress
from .packet_types import PacketType

log = logging.getLogger("oxbowyard.gearman")

UPDATE_PACKETS = {UpdateKind.DATA: PacketType.WORK_DATA, UpdateKind.WARNING: PacketType.WORK_WARNING}


def send_update(job: Job, update: AttemptUpdate) -> None:
    """Send a progress update from the worker to the job's clients."""
    if update.kind is UpdateKind.STATUS:
        job.progress = Progress(f"{update.done:g}".encode(), f"{update.total:g}".encode())
        progress = job.progress
        job.send(encode(PacketType.WORK_STATUS, job.handle, progress.numerator, progress.denominator))
    elif update.kind is UpdateKind.EXCEPTION:
        for client in [client for client in job.clients if client.accepts_exceptions]:
            client.send(encode(PacketType.WORK_EXCEPTION, job.handle, update.body))
    else:
        job.send(encode(UPDATE_PACKETS[update.kind], job.handle, update.body))


def send_result(job: Job, result: JobResult) -> None:
    """Send the result of a deferred job to its clients."""
    _log_unserved(job, result.answer())
    for packet in result_packets(job.handle, result):
        job.send(packet)


def send_answer(job: Job, answer: Answer) -> None:
    """Send the scheduler core's answer to the job's clients."""
    _log_unserved(job, answer)
    for packet in answer_packets(job.handle, answer):
        job.send(packet)


def result_packets(handle: bytes, result: JobResult) -> list[bytes]:
    """Return the packets that tell a client the result of a deferred job."""
    answer = answer_packets(handle, result.answer())
    has_own_warning = result.outcome in (JobOutcome.REJECTED, JobOutcome.CANCELLED)
    if result.run_state is not RunState.NEVER_RAN or has_own_warning:
        return answer
    return [encode(PacketType.WORK_WARNING, handle, f"never ran: {result.reason}".encode()), *answer]


def answer_packets(handle: bytes, answer: Answer) -> list[bytes]:
    """Return the packets that tell a client the scheduler core's answer."""
    if answer.kind is AnswerKind.SERVED:
        return [encode(PacketType.WORK_COMPLETE, handle, answer.body)]
    if answer.kind is AnswerKind.REJECTED:
        # The protocol has no packet for a rejection, so a warning says when to submit the job again.
        return failure_packets(handle, f"refused retry-after={answer.retry_after_s:.3f}")
    return [encode(PacketType.WORK_FAIL, handle)]


def abandoned_packets(handle: bytes, abandoned: WaitAbandoned) -> list[bytes]:
    """Return the packets that tell a client that it will not learn the job's end."""
    return failure_packets(handle, abandoned.text)


def failure_packets(handle: bytes, warning: str) -> list[bytes]:
    """Return a warning and the failure that it explains."""
    return [encode(PacketType.WORK_WARNING, handle, warning.encode()), encode(PacketType.WORK_FAIL, handle)]


def _log_unserved(job: Job, answer: Answer) -> None:
    if job.is_background and answer.kind is not AnswerKind.SERVED:
        log.warning(
            "background job not served: job=%s function=%s outcome=%s reason=%s",
            job.id,
            job.function.name,
            answer.kind.value,
            answer.reason,
        )
