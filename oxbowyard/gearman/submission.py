"""Parses the packets with which clients submit jobs."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass

from .config import Function
from .errors import ErrorCode, PacketRejectedError
from .job import Priority
from .packet_types import PacketType

MAX_EPOCH_DIGITS = 12  # of a Unix time in seconds
UNIQUE_IS_WORKLOAD = b"-"  # with this unique id, the workload serves as the unique id


@dataclass(slots=True, frozen=True)
class SubmissionKind:
    """The properties of a job that follow from the type of the packet."""

    priority: Priority
    is_background: bool  # the client does not wait for the result


SUBMISSION_KINDS = {
    PacketType.SUBMIT_JOB: SubmissionKind(Priority.NORMAL, is_background=False),
    PacketType.SUBMIT_JOB_BG: SubmissionKind(Priority.NORMAL, is_background=True),
    PacketType.SUBMIT_JOB_HIGH: SubmissionKind(Priority.HIGH, is_background=False),
    PacketType.SUBMIT_JOB_HIGH_BG: SubmissionKind(Priority.HIGH, is_background=True),
    PacketType.SUBMIT_JOB_LOW: SubmissionKind(Priority.LOW, is_background=False),
    PacketType.SUBMIT_JOB_LOW_BG: SubmissionKind(Priority.LOW, is_background=True),
    PacketType.SUBMIT_JOB_EPOCH: SubmissionKind(Priority.NORMAL, is_background=True),
}


@dataclass(slots=True, frozen=True)
class Submission:
    """A job as submitted by a client."""

    function: Function
    unique: bytes
    workload: bytes
    priority: Priority
    is_background: bool
    not_before_unix_s: float | None = None


def parse_submission(
    packet_type: PacketType, arguments: list[bytes], functions: Mapping[str, Function], can_defer: bool
) -> Submission:
    """Parse a packet that submits a job.

    Args:
        packet_type: One of `SUBMISSION_KINDS`.
        arguments: The packet's arguments, as many as its type has.
        functions: The configured functions by name.
        can_defer: Whether there is a queue of deferred jobs, which SUBMIT_JOB_EPOCH requires.

    Raises:
        PacketRejectedError: The time is malformed or not supported, or the function is not configured.
    """
    not_before_unix_s = None
    if packet_type is PacketType.SUBMIT_JOB_EPOCH:
        name, unique, epoch, workload = arguments
        not_before_unix_s = _parse_epoch(epoch, can_defer)
    else:
        name, unique, workload = arguments
    function = functions.get(name.decode("utf-8", "replace"))
    if function is None:
        raise PacketRejectedError(ErrorCode.UNKNOWN_FUNCTION, "no such function here")
    if unique == UNIQUE_IS_WORKLOAD:
        unique = _workload_unique(workload)
    kind = SUBMISSION_KINDS[packet_type]
    return Submission(function, unique, workload, kind.priority, kind.is_background, not_before_unix_s)


def _workload_unique(workload: bytes) -> bytes:
    """Return the unique id of a workload: its digest if it contains a NUL, which ends a packet argument."""
    return hashlib.sha256(workload).hexdigest().encode() if b"\0" in workload else workload


def _parse_epoch(text: bytes, can_defer: bool) -> float:
    if not can_defer:
        number = PacketType.SUBMIT_JOB_EPOCH.value
        raise PacketRejectedError(ErrorCode.UNKNOWN_COMMAND, f"packet type {number} is not served here")
    if not text.isdigit() or len(text) > MAX_EPOCH_DIGITS:
        reason = "the time is not a whole number of seconds since 1970"
        raise PacketRejectedError(ErrorCode.INVALID_EPOCH, reason)
    return float(text)
