"""Parsing of a scan worker's answer: its status, and the JSON lines that follow a status of 200."""

from __future__ import annotations

import logging
from collections.abc import Mapping

import orjson

from ..core.request import AttemptOutcome
from ..decision.facade import Result
from .load_report import parse_load_values

log = logging.getLogger("oxbowyard.backends")

MAX_LINES = 10_000  # per answer; a progress line every second for an hour is less than half of this
MAX_LOGGED_LINES = 3  # malformed lines logged per answer
BACKEND_ERROR_STATUSES = (408, 425, 429)  # 4xx caused by the backend; the others are caused by the request
FINAL_STATES = {"done": Result.OK, "failed": Result.ERROR, "returned": Result.FULL, "lost": Result.RESET}


def outcome_of_status(status: int, declined: str | None, load: Mapping[str, float]) -> AttemptOutcome | None:
    """Return the outcome given by the status and the `Srv-Declined` header alone; None for 200."""
    if status == 200:
        return None
    if status in (503, 504) and declined == "1":
        return AttemptOutcome(Result.FULL, load=load, reason=f"declined with {status}")
    is_about_request = 400 <= status < 500 and status not in BACKEND_ERROR_STATUSES
    result = Result.INVALID_REQUEST if is_about_request else Result.ERROR
    return AttemptOutcome(result, load=load, reason=f"status {status}")


class AnswerReader:
    """Reads the lines of one answer up to the last one.

    A line that is malformed, or that belongs to another request, is skipped; the first few are logged.

    Args:
        request_id: The id that each line must contain.
        load_names: Maps the names of load values in a report to the dispatcher's names.
    """

    def __init__(self, request_id: str, load_names: Mapping[str, str]) -> None:
        self._request_id = request_id
        self._load_names = load_names
        self._malformed_line_count = 0
        self.line_count = 0
        self.is_started = False
        self.progress: float | None = None  # the share done, from the latest progress line

    def read(self, line: bytes) -> AttemptOutcome | None:
        """Read one line, and return the outcome if it is the last one."""
        self.line_count += 1
        message = _parse(line)
        if message is None or message.get("id") != self._request_id:
            self._log_malformed(line)
            return None
        state = message.get("state")
        if state == "started":
            self.is_started = True
        elif state == "running":
            share = message.get("share")
            self.progress = float(share) if isinstance(share, (int, float)) else None
        elif state in FINAL_STATES:
            return self._outcome(state, message)
        else:
            log.warning("answer line of unknown state: request=%s state=%.40r", self._request_id, state)
        return None

    def _outcome(self, state: str, message: Mapping[str, object]) -> AttemptOutcome:
        report = message.get("load")
        load = parse_load_values(report, self._load_names) if isinstance(report, dict) else {}
        if state != "done":
            return AttemptOutcome(FINAL_STATES[state], load=load, reason=state)
        result = message.get("result")
        if not isinstance(result, str):
            return AttemptOutcome(Result.ERROR, load=load, reason="done without a result")
        return AttemptOutcome(Result.OK, result.encode(), load)

    def _log_malformed(self, line: bytes) -> None:
        self._malformed_line_count += 1
        if self._malformed_line_count <= MAX_LOGGED_LINES:
            log.warning("broken answer line passed over: request=%s line=%.120r", self._request_id, line)


def _parse(line: bytes) -> dict[str, object] | None:
    try:
        message = orjson.loads(line)
    except orjson.JSONDecodeError:
        return None
    return message if isinstance(message, dict) else None
