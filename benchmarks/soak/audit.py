"""Checks the observations of a run against the platform's rules. No I/O. Comments name each rule's page."""

from __future__ import annotations

import re
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import pairwise

from .plan import SOCKETS, Plan, Semantics
from .records import Arrival, Exchange, Observation, Process

LATE_ANSWER_S = 0.5  # up to this much after the deadline an answer is worthless, later it is lost (STANDING)
SOCKET_SLACK_S = 0.05  # added to every time limit on sockets (PROTOCOL)
START_AFTER_LEAVE_S = 0.1  # an attempt that begins later is a violation (STANDING)
NEW_SETTINGS_BIND_S = 1.2  # after SIGHUP (DAYS)
MEMORY_SHARE = 0.8  # of the limit, which the peak must not pass
MAX_LAG_S = 0.15  # for which a scheduler may be held up (STANDING)
LAG_LINE = re.compile(r"event loop lag: lag_ms=(\d+)")
READY_WITHIN_S = 10.0  # STANDING
KILL_SEEN_WITHIN_S = 0.25  # by a client, whose event loop may lag
REPLACEMENT_READY_WITHIN_S = 6.0  # DAYS
BAD_CLIENT_WITHIN_S = 3.0  # STANDING
REFUSALS = (429, 503)
SERVED = 200
FAULT_WORDS = (
    "Traceback", "internal fault", "internal error", "in our own code", "decision fault",
    "background task ended", "could not carry out", "never retrieved", "InvalidTransition",
    "against the rules",
)  # fmt: skip


@dataclass(slots=True, frozen=True)
class Violation:
    """A broken rule."""

    rule: str
    text: str

    def __str__(self) -> str:
        return f"{self.rule}: {self.text}"


def audit(plan: Plan, observation: Observation) -> list[Violation]:
    """Return all violations of a run."""
    arrivals: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in sorted(observation.arrivals, key=lambda arrival: arrival.first_byte_at):
        arrivals[arrival.id].append(arrival)
    return [
        *_answers(observation, arrivals),
        *_contents(observation, arrivals),
        *_runs(plan, observation, arrivals),
        *_copies(arrivals),
        *_starts_after_leaving(observation, arrivals),
        *_sends_to_draining(observation),
        *_processes(plan, observation),
        *(Violation("forgotten job", job) for job in observation.forgotten_jobs),
        *_bad_clients(observation),
    ]


def _answers(observation: Observation, arrivals: dict[str, list[Arrival]]) -> Iterator[Violation]:
    """Yield requests without exactly one final answer in time, unless they may stay unanswered."""
    for exchange in observation.exchanges:
        if exchange.answers > 1:
            yield Violation("two answers", exchange.id)
        if exchange.sent_at is None or exchange.left_at is not None:
            continue
        latest = exchange.sent_at + exchange.deadline_s + LATE_ANSWER_S + SOCKET_SLACK_S
        if exchange.answered_at is not None:
            if exchange.answered_at > latest:
                yield Violation("late answer", f"{exchange.id} by {exchange.answered_at - latest:.3f} s")
        elif not _may_be_unanswered(observation, exchange, bool(arrivals.get(exchange.id))):
            yield Violation("lost request", f"{exchange.id} sent on a {_kind(exchange)} connection")


def _kind(exchange: Exchange) -> str:
    return "new" if exchange.is_first else "reused"


def _may_be_unanswered(observation: Observation, exchange: Exchange, was_forwarded: bool) -> bool:
    """Return whether an answer may be missing, after a kill or a close before the request was read."""
    closed_at = exchange.closed_at
    if closed_at is None:
        return False
    if any(_was_killed_at(process, closed_at) for process in observation.processes):
        return True
    if was_forwarded:
        return False
    return not exchange.is_first or any(begin <= closed_at <= end for begin, end in observation.crowded)


def _was_killed_at(process: Process, closed_at: float) -> bool:
    """Return whether a connection ended because its process was killed, which resets all at once."""
    killed_at = process.killed_at
    return killed_at is not None and -SOCKET_SLACK_S <= closed_at - killed_at <= KILL_SEEN_WITHIN_S


def _contents(observation: Observation, arrivals: dict[str, list[Arrival]]) -> Iterator[Violation]:
    """Yield served requests whose body is not a result that a worker gave for them."""
    for exchange in observation.exchanges:
        if exchange.status != SERVED or exchange.answered_at is None:
            continue
        if exchange.body not in {arrival.result for arrival in arrivals.get(exchange.id, ())}:
            yield Violation("foreign answer", f"{exchange.id}: {exchange.body!r}")


def _semantics(plan: Plan, observation: Observation, exchange: Exchange) -> Semantics:
    """Return the semantics of a request's class at the time when the request was sent."""
    loosened_at = observation.loosened_at
    if loosened_at is not None and exchange.begun_at >= loosened_at + NEW_SETTINGS_BIND_S:
        return Semantics.FREE
    return plan.class_named(exchange.job_class).semantics


def _runs(plan: Plan, observation: Observation, arrivals: dict[str, list[Arrival]]) -> Iterator[Violation]:
    """Yield requests that ran twice against their class's semantics, or were refused although they ran."""
    for exchange in observation.exchanges:
        ran = [arrival for arrival in arrivals.get(exchange.id, ()) if arrival.ran]
        semantics = _semantics(plan, observation, exchange)
        if semantics is Semantics.SINGLE_SHOT and len(ran) > 1:
            yield Violation("ran twice", f"{exchange.id} at {', '.join(a.worker for a in ran)}")
        if semantics is Semantics.SINGLE_SHOT and ran and exchange.status in REFUSALS:
            yield Violation("refused though it ran", exchange.id)
        if semantics is Semantics.GUARDED and len(ran) > 1:
            first, last = ran[0].received_at, ran[-1].received_at
            assert first is not None and last is not None
            window_s = plan.class_named(exchange.job_class).window_s
            if last - first > window_s + SOCKET_SLACK_S:
                yield Violation(
                    "ran twice", f"{exchange.id}, {last - first:.3f} s apart, window {window_s} s"
                )


def _copies(arrivals: dict[str, list[Arrival]]) -> Iterator[Violation]:
    """Yield requests of which a second copy was sent while an earlier attempt was still open."""
    for id_, attempts in arrivals.items():
        received = [arrival for arrival in attempts if arrival.received_at is not None]
        for earlier, later in pairwise(received):
            assert later.received_at is not None
            finished_at = min(
                (at for at in (earlier.ended_at, earlier.closed_at) if at is not None), default=float("inf")
            )
            if finished_at > later.received_at + SOCKET_SLACK_S:
                yield Violation("second copy", f"{id_} at {earlier.worker} and {later.worker}")


def _starts_after_leaving(
    observation: Observation, arrivals: dict[str, list[Arrival]]
) -> Iterator[Violation]:
    for exchange in observation.exchanges:
        if exchange.left_at is None:
            continue
        for arrival in arrivals.get(exchange.id, ()):
            if _was_sent_again(observation, exchange, arrival):
                continue
            late_s = arrival.first_byte_at - exchange.left_at - START_AFTER_LEAVE_S - SOCKET_SLACK_S
            if late_s > 0:
                yield Violation("sent after its client left", f"{exchange.id} by {late_s:.3f} s")


def _was_sent_again(observation: Observation, left: Exchange, arrival: Arrival) -> bool:
    """Return whether a client has sent the same id once more before the attempt began."""
    return any(
        other is not left and other.id == left.id and left.begun_at < other.begun_at <= arrival.first_byte_at
        for other in observation.exchanges
    )


def _sends_to_draining(observation: Observation) -> Iterator[Violation]:
    for drain in observation.drains:
        for arrival in observation.arrivals:
            if arrival.worker == drain.worker and drain.enforced_from < arrival.first_byte_at < drain.until:
                late_s = arrival.first_byte_at - drain.enforced_from
                yield Violation("sent to a draining worker", f"{arrival.id} {late_s:.3f} s past the grace")


def _processes(plan: Plan, observation: Observation) -> Iterator[Violation]:
    for number, process in enumerate(observation.processes):
        yield from _one_process(plan, process, number, observation.max_lag_s)


def _one_process(plan: Plan, process: Process, number: int, machine_lag_s: float) -> Iterator[Violation]:
    name = f"process {number}"
    if process.killed_at is None:
        if process.exit_code != 0:
            yield Violation("exit code", f"{name}: {process.exit_code}")
        limit_s = REPLACEMENT_READY_WITHIN_S if number else READY_WITHIN_S
        if process.ready_at is None or process.ready_at - process.started_at > limit_s:
            yield Violation("not ready in time", name)
        if process.terminated_at is not None and process.exited_at is not None:
            limit_s = max(plan.longest_deadline_s, 3.0) + 0.7
            if process.exited_at - process.terminated_at > limit_s + SOCKET_SLACK_S:
                yield Violation("still there when SIGKILL comes", name)
    for text in FAULT_WORDS:
        if text in process.log:
            line = next(line for line in process.log.splitlines() if text in line)
            yield Violation("fault in the log", f"{name}: {line}")
    if process.peak_memory_mb > MEMORY_SHARE * plan.memory_mb:
        yield Violation("memory", f"{name}: {process.peak_memory_mb:.0f} MB")
    lags_s = [int(lag) / 1000 for lag in LAG_LINE.findall(process.log)]
    if lags_s and max(lags_s) > MAX_LAG_S + 2 * machine_lag_s:
        yield Violation("lag", f"{name}: {max(lags_s):.3f} s, the machine's {machine_lag_s:.3f} s")
    if process.peak_descriptors > SOCKETS:
        yield Violation("descriptors", f"{name}: {process.peak_descriptors}")


def _bad_clients(observation: Observation) -> Iterator[Violation]:
    for waited_s in observation.bad_client_waits_s:
        if waited_s > BAD_CLIENT_WITHIN_S + SOCKET_SLACK_S:
            yield Violation("bad client kept", f"{waited_s:.3f} s")
