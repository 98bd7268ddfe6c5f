"""Workers that failed a class: what becomes of it when settings are reloaded or the process is replaced."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from test_learned import NAMES, ONCE, SHORT, dispatcher, handed, served

from oxbowyard import Dispatcher
from oxbowyard.decision import outlier_detection, snapshot
from oxbowyard.decision.actions import Action, StartAttempt
from oxbowyard.decision.events import AttemptEnded, RequestReceived, Result
from oxbowyard.decision.settings import JobClass, RetrySafety

RETUNED = replace(ONCE, latency_objective_ms=3000.0)
ADDED = JobClass("added", latency_objective_ms=1000, deadline_ms=10000.0)


def ask(made: Dispatcher, now: float, id_: str, job_class: str) -> list[str]:
    """The workers that one request is sent to."""
    actions = made.handle(now, RequestReceived(id_, job_class, 10000.0, id_))
    return [action.worker for action in actions if isinstance(action, StartAttempt)]


def fail_at(made: Dispatcher, now: float, worker: str, job_class: JobClass) -> None:
    made.state.workers[worker].class_ejections.pop(job_class.name, None)
    outlier_detection.record_class_failure(made.state, made.state.workers[worker], job_class, 4.0, now)


def test_a_reload_that_changes_a_class_does_not_send_it_back_to_a_worker_that_fails_it() -> None:
    # Guards against failures kept by the settings' objects, which every reload replaces.
    made = dispatcher(1)
    now = served(made)
    fail_at(made, now, "w1", ONCE)
    assert made.state.workers["w1"].class_ejections["once"].until_ms > now
    made.state.replace_classes((SHORT, RETUNED), 3)
    sent = [worker for i in range(60) for worker in ask(made, now + i, f"n{i}", "once")]
    assert sent and "w1" not in sent


def test_a_successor_knows_that_a_class_fails_everywhere() -> None:
    # Guards against a successor that ejects nearly all workers for a class whose jobs are at fault.
    old = dispatcher(1)
    now = served(old)
    for name in NAMES:
        fail_at(old, now, name, ONCE)
    assert old.state.classes_failing_everywhere == {"once"}
    new = dispatcher(2, now)
    snapshot.restore(new.state, handed(old, now), now + 200.0)
    assert new.state.classes_failing_everywhere == {"once"}
    assert ask(new, now + 201.0, "n", "once")


def test_a_successor_forgets_with_the_ejections_that_a_class_failed_everywhere() -> None:
    old = dispatcher(1)
    now = served(old)
    for name in NAMES:
        fail_at(old, now, name, ONCE)
    later = now + outlier_detection.MAX_CLASS_EJECTION_MS + 1.0
    new = dispatcher(2, later)
    snapshot.restore(new.state, handed(old, now), later)
    assert not new.state.classes_failing_everywhere


class History:
    """A dispatcher that is replaced, reloaded and sees failures, by chance."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.made = dispatcher(seed)
        self.now = served(self.made)
        self.open: list[StartAttempt] = []
        self.count = 0

    def note(self, actions: list[Action]) -> None:
        self.open += [action for action in actions if isinstance(action, StartAttempt)]

    def request(self) -> None:
        self.count += 1
        name = self.random.choice(("short", "once", "added", "unknown"))
        self.note(self.made.handle(self.now, RequestReceived(f"h{self.count}", name, 10000.0, name)))

    def end(self) -> None:
        if not self.open:
            return
        action = self.open.pop(self.random.randrange(len(self.open)))
        result = self.random.choice((Result.ERROR, Result.ERROR, Result.TIMEOUT, Result.FULL, Result.OK))
        self.note(
            self.made.handle(
                self.now,
                AttemptEnded(
                    action.request_id, action.attempt, action.worker, result, 90.0, result is Result.OK
                ),
            )
        )

    def reload(self) -> None:
        once = self.random.choice((ONCE, RETUNED, replace(ONCE, retry_safety=RetrySafety.IDEMPOTENT)))
        self.made.state.replace_classes(self.random.choice(((SHORT, once), (once, ADDED), (SHORT,))), 3)

    def replace_process(self) -> None:
        self.open.clear()
        new = dispatcher(self.random.getrandbits(32), self.now)
        new.state.replace_classes(self.made.state.settings.classes, 3)
        snapshot.restore(new.state, handed(self.made, self.now), self.now + 200.0)
        self.made, self.now = new, self.now + 200.0

    def run(self, steps: int) -> None:
        for _ in range(steps):
            self.now += self.random.uniform(0.0, 60.0)
            step = self.random.choices(
                (self.request, self.end, self.reload, self.replace_process), (12, 12, 1, 1)
            )[0]
            step()


@pytest.mark.parametrize("seed", range(30))
def test_no_history_of_failures_reloads_and_replacements_ends_in_a_fault(seed: int) -> None:
    # Guards against decisions that raise: their callers are answered "internal fault".
    History(seed).run(400)
