"""Sends progress and results of jobs to their clients."""

from __future__ import annotations

import logging

from ..core.request import Answer, AnswerKind, AttemptUpdate, RunState, UpdateKind
from ..waiting.job import JobOutcome, JobResult
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
    has_own_warning = result.outcome in (JobOutcome.REJECTED, JobOutcome.CANCELLED)
    if result.run_state is RunState.NEVER_RAN and not has_own_warning:
        job.send(encode(PacketType.WORK_WARNING, job.handle, f"never ran: {result.reason}".encode()))
    send_answer(job, result.answer())


def send_answer(job: Job, answer: Answer) -> None:
    """Send the scheduler core's answer to the job's clients."""
    if answer.kind is AnswerKind.SERVED:
        job.send(encode(PacketType.WORK_COMPLETE, job.handle, answer.body))
        return
    if job.is_background:
        log.warning(
            "background job not served: job=%s function=%s outcome=%s reason=%s",
            job.id,
            job.function.name,
            answer.kind.value,
            answer.reason,
        )
    # The protocol has no packet for a rejection, so a warning says when to submit the job again.
    if answer.kind is AnswerKind.REJECTED:
        text = f"refused retry-after={answer.retry_after_s:.3f}"
        job.send(encode(PacketType.WORK_WARNING, job.handle, text.encode()))
    job.send(encode(PacketType.WORK_FAIL, job.handle))
