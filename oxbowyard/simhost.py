"""Adapter between the protocol of the simulator and the events and actions of dispatchers.

This module maps the names of the protocol to those of `decision.events` and `decision.actions`. No other
module uses them.
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
    """The simulator sent a line that violates the protocol."""


def _parse_worker(row: list[Any]) -> events.WorkerInfo:
    name, zone, kind, cell, readiness, weight, started_at_ms = (*row, None, None)[:7]
    state = READINESS[readiness]
    return events.WorkerInfo(
        name, state, zone or "", kind or "", cell or 0, weight or 1.0, started_at_ms or 0.0
    )


def encode(instance_id: int, action: actions.Action) -> bytes:
    """Encode an action as a line of the protocol."""
    line: list[Any]
    match action:
        case actions.StartAttempt(request_id=request_id, worker=worker, timeout_ms=timeout):
            line = ["passOn", instance_id, request_id, worker, timeout]
        case actions.SetTimer(tag=tag, delay_ms=delay):
            line = ["defer", instance_id, tag, delay]
        case actions.RejectRequest(request_id=request_id, retry_after_ms=retry_after):
            line = ["decline", instance_id, request_id, retry_after]
        case actions.FailRequest(request_id=request_id):
            line = ["giveUp", instance_id, request_id]
        case actions.CancelAttempt(request_id=request_id, attempt=attempt):
            line = ["abandon", instance_id, request_id, attempt]
        case actions.ProbeWorker(worker=worker):
            line = ["soundOut", instance_id, worker]
        case actions.CloseIdleConnections(worker=worker):
            line = ["close", instance_id, worker]
        case actions.SubscribeEndpoints():
            line = ["follow", instance_id, True]
        case actions.LogMessage(text=text):
            line = ["record", instance_id, text]
        case actions.QueueRequest():
            raise TypeError("the wire has no line for QueueRequest: a request without an action is queued")
    return orjson.dumps(line)


class SimulatorSession:
    """The dispatchers of one process, and the endpoint lists that the protocol numbers for all of them."""

    def __init__(self) -> None:
        self.instances: dict[int, Dispatcher] = {}
        self.endpoint_lists: dict[int, tuple[events.WorkerInfo, ...]] = {}
        self.load_names: dict[int, dict[str, str]] = {}
        self.translators: dict[str, Callable[[int, list[Any]], events.Event | None]] = {
            "membership": self._membership,
            "submit": lambda instance_id, message: events.RequestReceived(
                message[2],
                message[4],
                message[8],
                message[12] if len(message) > 12 else None,
                message[3] or None,
                message[9] or 1,
                bool(message[10]),
            ),
            "statusBack": lambda instance_id, message: events.ProbeEnded(
                message[2], RESULTS[message[4]], message[3], self._parse_load(instance_id, message, 5)
            ),
            "ackFirst": lambda instance_id, message: events.StreamStarted(message[2], message[3], message[4]),
            "aborted": lambda instance_id, message: events.ClientDisconnected(message[2]),
            "notice": lambda instance_id, message: (
                events.AttemptStarted(message[2], message[6], message[4])
                if message[3] == 1
                else events.AttemptProgressed(message[2], message[6], message[4], message[5] or 0.0)
            ),
            "outcome": lambda instance_id, message: events.AttemptEnded(
                message[2],
                message[3],
                message[4],
                RESULTS[message[5]],
                message[6],
                bool(message[7]),
                self._parse_load(instance_id, message, 9),
            ),
            "reminder": lambda instance_id, message: events.TimerFired(message[2]),
            "memo": lambda instance_id, message: None,
        }

    def _membership(self, instance_id: int, message: list[Any]) -> events.Event:
        scope = SCOPES[message[2]]
        return events.EndpointsChanged(
            scope, () if scope is events.Scope.FAILED else self.endpoint_lists[message[4]]
        )

    def _parse_load(self, instance_id: int, message: list[Any], index: int) -> dict[str, float]:
        report = message[index] if len(message) > index else None
        if not report:
            return NO_LOAD
        names = self.load_names[instance_id]
        return {
            names[name]: value
            for name, value in (report.items() if isinstance(report, dict) else report)
            if name in names
        }

    def start_instance(self, instance_id: int, seed: int, settings: dict[str, Any]) -> None:
        """Start a dispatcher without estimates."""
        self.instances[instance_id] = Dispatcher(parse_settings(settings), seed)
        self.load_names[instance_id] = get_load_report_names(settings)

    def handle_line(self, now: float, message: list[Any]) -> list[bytes]:
        """Handle one event line and return the lines of its actions."""
        name = message[0]
        if name == "inventory":
            self.endpoint_lists[message[1]] = tuple(_parse_worker(row) for row in message[2])
            return []
        instance_id = message[1]
        if name == "born":
            self.start_instance(instance_id, message[2], message[3])
            return []
        if name == "powerOff":
            self.instances.pop(instance_id, None)
            return []
        translate = self.translators.get(name)
        instance = self.instances.get(instance_id)
        if translate is None or instance is None:
            return []
        event = translate(instance_id, message)
        if event is None:
            return []
        try:
            return [encode(instance_id, action) for action in instance.handle(now, event)]
        except Exception as failure:  # the protocol reports any exception of a dispatcher
            return [orjson.dumps(["internalError", instance_id, f"{type(failure).__name__}: {failure}"])]


def serve(lines: Iterable[bytes], out: BinaryIO) -> None:
    """Answer each batch until the input ends."""
    session = SimulatorSession()
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
                reply.extend(session.handle_line(now, message))
        except WireError as fault:
            raise WireError(f"line {number}: {fault}") from None
        except (ValueError, TypeError, LookupError, AttributeError) as fault:
            raise WireError(f"line {number}: not a message of the wire ({fault})") from None
    if now is not None:
        raise WireError("the input ended inside a batch")


def main() -> int:
    """Serve standard input and output. Print one line to standard error if the protocol is violated."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as fault:
        print(f"oxbowyard: {fault}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
