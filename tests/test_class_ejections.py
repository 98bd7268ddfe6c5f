"""Class ejections survive a reload of the settings and a replacement of the process."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from test_learned import NAMES, ONCE, SHORT, hand_over, make_dispatcher, serve_jobs

from oxbowyard import Dispatcher
from oxbowyard.decision import outlier_detection, snapshot
from oxbowyard.decision.actions import Action, StartAttempt
from oxbowyard.decision.events import AttemptEnded, RequestReceived, Result
from oxbowyard.decision.settings import JobClass, RetrySafety

RETUNED = replace(ONCE, latency_objective_ms=3000.0)
ADDED = JobClass("added", latency_objective_ms=1000, deadline_ms=10000.0)


def submit(dispatcher: Dispatcher, now: float, id_: str, job_class: str) -> list[str]:
    """Submit one request and return the workers that it is sent to."""
    actions = dispatcher.handle(now, RequestReceived(id_, job_class, 10000.0, id_))
    return [action.worker for action in actions if isinstance(action, StartAttempt)]


def record_failure(dispatcher: Dispatcher, now: float, worker: str, job_class: JobClass) -> None:
    dispatcher.state.workers[worker].class_ejections.pop(job_class.name, None)
    outlier_detection.record_class_failure(
        dispatcher.state, dispatcher.state.workers[worker], job_class, 4.0, now
    )


def test_reload_of_a_class_keeps_its_ejections() -> None:
    # Guards against failures stored under the job class objects, which every reload replaces.
    dispatcher = make_dispatcher(1)
    now = serve_jobs(dispatcher)
    record_failure(dispatcher, now, "w1", ONCE)
    assert dispatcher.state.workers["w1"].class_ejections["once"].until_ms > now
    dispatcher.state.replace_classes((SHORT, RETUNED), 3)
    workers = [worker for i in range(60) for worker in submit(dispatcher, now + i, f"n{i}", "once")]
    assert workers and "w1" not in workers


def test_successor_restores_classes_that_fail_everywhere() -> None:
    # Guards against a successor that ejects nearly all workers for a class whose jobs themselves are faulty.
    old = make_dispatcher(1)
    now = serve_jobs(old)
    for name in NAMES:
        record_failure(old, now, name, ONCE)
    assert old.state.classes_failing_everywhere == {"once"}
    new = make_dispatcher(2, now)
    snapshot.restore(new.state, hand_over(old, now), now + 200.0)
    assert new.state.classes_failing_everywhere == {"once"}
    assert submit(new, now + 201.0, "n", "once")


def test_class_failing_everywhere_is_not_restored_after_its_ejections_expired() -> None:
    old = make_dispatcher(1)
    now = serve_jobs(old)
    for name in NAMES:
        record_failure(old, now, name, ONCE)
    later = now + outlier_detection.MAX_CLASS_EJECTION_MS + 1.0
    new = make_dispatcher(2, later)
    snapshot.restore(new.state, hand_over(old, now), later)
    assert not new.state.classes_failing_everywhere


class History:
    """Random history of a dispatcher: requests, failures, reloads and replacements."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.dispatcher = make_dispatcher(seed)
        self.now = serve_jobs(self.dispatcher)
        self.open: list[StartAttempt] = []
        self.count = 0

    def collect_attempts(self, actions: list[Action]) -> None:
        self.open += [action for action in actions if isinstance(action, StartAttempt)]

    def submit_request(self) -> None:
        self.count += 1
        name = self.random.choice(("short", "once", "added", "unknown"))
        self.collect_attempts(
            self.dispatcher.handle(self.now, RequestReceived(f"h{self.count}", name, 10000.0, name))
        )

    def end_attempt(self) -> None:
        if not self.open:
            return
        action = self.open.pop(self.random.randrange(len(self.open)))
        result = self.random.choice((Result.ERROR, Result.ERROR, Result.TIMEOUT, Result.FULL, Result.OK))
        self.collect_attempts(
            self.dispatcher.handle(
                self.now,
                AttemptEnded(
                    action.request_id, action.attempt, action.worker, result, 90.0, result is Result.OK
                ),
            )
        )

    def reload_settings(self) -> None:
        once = self.random.choice((ONCE, RETUNED, replace(ONCE, retry_safety=RetrySafety.IDEMPOTENT)))
        self.dispatcher.state.replace_classes(self.random.choice(((SHORT, once), (once, ADDED), (SHORT,))), 3)

    def replace_process(self) -> None:
        self.open.clear()
        new = make_dispatcher(self.random.getrandbits(32), self.now)
        new.state.replace_classes(self.dispatcher.state.settings.classes, 3)
        snapshot.restore(new.state, hand_over(self.dispatcher, self.now), self.now + 200.0)
        self.dispatcher, self.now = new, self.now + 200.0

    def run(self, steps: int) -> None:
        for _ in range(steps):
            self.now += self.random.uniform(0.0, 60.0)
            step = self.random.choices(
                (self.submit_request, self.end_attempt, self.reload_settings, self.replace_process),
                (12, 12, 1, 1),
            )[0]
            step()


@pytest.mark.parametrize("seed", range(30))
def test_random_failures_reloads_and_replacements_raise_no_exception(seed: int) -> None:
    # Guards against decisions that raise: their clients get the answer "internal fault".
    History(seed).run(400)
