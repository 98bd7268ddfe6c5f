"""Reads what a scan worker answers: status, streamed JSON lines and load reports."""

from __future__ import annotations

import logging
from collections.abc import Mapping

import orjson

from ..core.request import AttemptOutcome
from ..decision.facade import Result

log = logging.getLogger("oxbowyard.backends")

MOST_LINES = 10_000  # of one answer: progress every second for an hour is less than half of it
MOST_TOLD = 3  # broken lines of one answer that are logged
OF_THE_BACKEND = (408, 425, 429)  # 4xx that say something of it; the others are about the request
LAST = {"done": Result.OK, "failed": Result.ERROR, "returned": Result.FULL, "lost": Result.RESET}


def load_figures(pairs: Mapping[str, object], names: Mapping[str, str]) -> dict[str, float]:
    """The figures of a report under the decisions' names; what is not a figure is left out."""
    figures = {}
    for name, value in pairs.items():
        if name not in names:
            continue
        if isinstance(value, (int, float)) and not isinstance(value, bool) and abs(value) < 1e9:
            figures[names[name]] = float(value)
        else:
            log.warning("broken load report: %s=%r", name, value)
    return figures


def load_header(text: str | None, names: Mapping[str, str]) -> dict[str, float]:
    """The report in a header, as `name=figure,name=figure`."""
    pairs: dict[str, object] = {}
    for part in (text or "").split(","):
        name, sep, value = part.strip().partition("=")
        if not sep:
            continue
        try:
            pairs[name] = float(value)
        except ValueError:
            pairs[name] = value
    return load_figures(pairs, names)


def status_ending(status: int, declined: str | None, load: dict[str, float]) -> AttemptOutcome | None:
    """The ending that a status alone tells; None for 200, where lines follow."""
    if status == 200:
        return None
    if status in (503, 504) and declined == "1":
        return AttemptOutcome(Result.FULL, load=load, reason=f"declined with {status}")
    result = Result.REJECTED if 400 <= status < 500 and status not in OF_THE_BACKEND else Result.ERROR
    return AttemptOutcome(result, load=load, reason=f"status {status}")


class LineReader:
    """Takes the lines of one answer and says when the last one has come."""

    def __init__(self, req_id: str, names: Mapping[str, str]) -> None:
        self._req_id = req_id
        self._names = names
        self.lines = self._broken = 0
        self.began = False
        self.share: float | None = None

    def take(self, line: bytes) -> AttemptOutcome | None:
        """One line; an ending if it is the last. A broken line is logged, the first few, and passed over."""
        self.lines += 1
        try:
            message = orjson.loads(line)
        except orjson.JSONDecodeError:
            message = None
        if not isinstance(message, dict) or message.get("id") != self._req_id:
            self._broken += 1
            if self._broken <= MOST_TOLD:
                log.warning("request %s: broken answer line passed over: %.120r", self._req_id, line)
            return None
        state = message.get("state")
        if state == "started":
            self.began = True
        elif state == "running":
            share = message.get("share")
            self.share = float(share) if isinstance(share, (int, float)) else None
        elif state in LAST:
            return self._last(state, message)
        else:
            log.warning("request %s: answer line of unknown state %.40r", self._req_id, state)
        return None

    def _last(self, state: str, message: dict[str, object]) -> AttemptOutcome:
        report = message.get("load")
        load = load_figures(report, self._names) if isinstance(report, dict) else {}
        if state != "done":
            return AttemptOutcome(LAST[state], load=load, reason=state)
        result = message.get("result")
        if not isinstance(result, str):  # there is nothing to serve that a worker made
            return AttemptOutcome(Result.ERROR, load=load, reason="done without a result")
        return AttemptOutcome(Result.OK, result.encode(), load)
