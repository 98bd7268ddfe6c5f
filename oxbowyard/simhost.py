"""The adapter between the simulator's wire and a dispatcher's events and actions. It decides nothing.

The wire's names end here: this module maps them to those of `decision.events` and `decision.actions`.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterable
from typing import Any, BinaryIO

import orjson

from .decision import actions, events
from .decision.dispatcher import Dispatcher
from .decision.platform_settings import get_load_report_names, parse_settings

RESULTS = {
    "GOOD": events.Result.OK,
    "BAD": events.Result.ERROR,
    "FULL": events.Result.FULL,
    "LATE": events.Result.TIMEOUT,
    "NOCONN": events.Result.UNREACHABLE,
    "RST": events.Result.RESET,
    "CXL": events.Result.CANCELLED,
    "NOP": events.Result.NOT_SENT,
}
SCOPES = {
    "update": events.Scope.CHANGES,
    "replace": events.Scope.FULL,
    "restored": events.Scope.RESTORED,
    "unavailable": events.Scope.FAILED,
}
READINESS = {
    "Ready": events.Readiness.READY,
    "Terminating": events.Readiness.DRAINING,
    "Gone": events.Readiness.GONE,
}
NO_LOAD: dict[str, float] = {}


class WireError(Exception):
    """The other side broke the wire's format."""


def _worker(row: list[Any]) -> events.WorkerInfo:
    name, zone, kind, cell, readiness, heft, since = (*row, None, None)[:7]
    state = READINESS[readiness]
    return events.WorkerInfo(name, state, zone or "", kind or "", cell or 0, heft or 1.0, since or 0.0)


def encode(who: int, action: actions.Action) -> bytes:
    """One action as a line of the wire."""
    line: list[Any]
    match action:
        case actions.StartAttempt(request_id=request_id, worker=worker, timeout_ms=timeout):
            line = ["passOn", who, request_id, worker, timeout]
        case actions.SetTimer(tag=tag, delay_ms=delay):
            line = ["defer", who, tag, delay]
        case actions.RejectRequest(request_id=request_id, retry_after_ms=retry_after):
            line = ["decline", who, request_id, retry_after]
        case actions.FailRequest(request_id=request_id):
            line = ["giveUp", who, request_id]
        case actions.CancelAttempt(request_id=request_id, attempt=attempt):
            line = ["abandon", who, request_id, attempt]
        case actions.ProbeWorker(worker=worker):
            line = ["soundOut", who, worker]
        case actions.CloseIdleConnections(worker=worker):
            line = ["close", who, worker]
        case actions.SubscribeEndpoints():
            line = ["follow", who, True]
        case actions.LogMessage(text=text):
            line = ["record", who, text]
        case actions.QueueRequest():
            raise TypeError("the wire has no line for QueueRequest: a request without an action is queued")
    return orjson.dumps(line)


class SimulatorSession:
    """The instances of one process and the lists that the wire numbers for all of them."""

    def __init__(self) -> None:
        self.instances: dict[int, Dispatcher] = {}
        self.lists: dict[int, tuple[events.WorkerInfo, ...]] = {}
        self.loads: dict[int, dict[str, str]] = {}
        self.translate: dict[str, Callable[[int, list[Any]], events.Event | None]] = {
            "membership": self._membership,
            "submit": lambda who, m: events.RequestReceived(
                m[2], m[4], m[8], m[12] if len(m) > 12 else None, m[3] or None, m[9] or 1, bool(m[10])
            ),
            "statusBack": lambda who, m: events.ProbeEnded(m[2], RESULTS[m[4]], m[3], self._load(who, m, 5)),
            "ackFirst": lambda who, m: events.StreamStarted(m[2], m[3], m[4]),
            "aborted": lambda who, m: events.ClientDisconnected(m[2]),
            "notice": lambda who, m: (
                events.AttemptStarted(m[2], m[6], m[4])
                if m[3] == 1
                else events.AttemptProgressed(m[2], m[6], m[4], m[5] or 0.0)
            ),
            "outcome": lambda who, m: events.AttemptEnded(
                m[2], m[3], m[4], RESULTS[m[5]], m[6], bool(m[7]), self._load(who, m, 9)
            ),
            "reminder": lambda who, m: events.TimerFired(m[2]),
            "memo": lambda who, m: None,
        }

    def _membership(self, who: int, m: list[Any]) -> events.Event:
        scope = SCOPES[m[2]]
        return events.EndpointsChanged(scope, () if scope is events.Scope.FAILED else self.lists[m[4]])

    def _load(self, who: int, m: list[Any], place: int) -> dict[str, float]:
        gauge = m[place] if len(m) > place else None
        if not gauge:
            return NO_LOAD
        names = self.loads[who]
        return {names[k]: v for k, v in (gauge.items() if isinstance(gauge, dict) else gauge) if k in names}

    def born(self, who: int, seed: int, facts: dict[str, Any]) -> None:
        """Start an instance that knows nothing but its settings."""
        self.instances[who] = Dispatcher(parse_settings(facts), seed)
        self.loads[who] = get_load_report_names(facts)

    def handle_line(self, now: float, m: list[Any]) -> list[bytes]:
        """Handle one event line and return the lines of its actions."""
        name = m[0]
        if name == "inventory":
            self.lists[m[1]] = tuple(_worker(row) for row in m[2])
            return []
        who = m[1]
        if name == "born":
            self.born(who, m[2], m[3])
            return []
        if name == "powerOff":
            self.instances.pop(who, None)
            return []
        translate = self.translate.get(name)
        instance = self.instances.get(who)
        if translate is None or instance is None:
            return []
        event = translate(who, m)
        if event is None:
            return []
        try:
            return [encode(who, action) for action in instance.handle(now, event)]
        except Exception as failure:  # the wire wants the text of any failure of the decisions
            return [orjson.dumps(["internalError", who, f"{type(failure).__name__}: {failure}"])]


def serve(lines: Iterable[bytes], out: BinaryIO) -> None:
    """Answer batch after batch until the input ends."""
    link = SimulatorSession()
    now: float | None = None
    reply: list[bytes] = []
    for number, line in enumerate(lines, 1):
        try:
            message = orjson.loads(line)
            name = message[0]
            if name == "batch":
                if now is not None:
                    raise WireError("a batch began inside another")
                now, reply = float(message[1]), []
            elif now is None:
                raise WireError("an event stands outside a batch")
            elif name == "end":
                reply.append(b'["ready"]\n')
                out.write(b"\n".join(reply))
                out.flush()
                now = None
            else:
                reply.extend(link.handle_line(now, message))
        except WireError as fault:
            raise WireError(f"line {number}: {fault}") from None
        except (ValueError, TypeError, LookupError, AttributeError) as fault:
            raise WireError(f"line {number}: not a message of the wire ({fault})") from None
    if now is not None:
        raise WireError("the input ended inside a batch")


def main() -> int:
    """Run on standard input and output; one plain message on standard error if the wire is broken."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as fault:
        print(f"oxbowyard: {fault}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
