"""The soak: its audit finds planted faults, a seed draws one plan, and some seeds keep all rules."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace

import pytest

from benchmarks.soak.__main__ import verdict_line
from benchmarks.soak.audit import audit
from benchmarks.soak.clients import Client
from benchmarks.soak.plan import Plan, Semantics, draw_plan
from benchmarks.soak.records import Arrival, Drain, Exchange, Observation, Process
from benchmarks.soak.run import Verdict, play

SEEDS = (1, 2, 3, 4)
PLAN = draw_plan(1)


def named(semantics: Semantics) -> str:
    return next(c.name for c in PLAN.classes if c.semantics is semantics)


def good() -> Observation:
    """A run without any fault: one request of each class, served by one worker."""
    seen = Observation(processes=[process()])
    for number, job_class in enumerate(PLAN.classes):
        at, id_ = 100.0 + number, f"r{number}"
        exchange = Exchange(id_, job_class.name, job_class.deadline_s, True, at, sent_at=at)
        exchange.answered_at, exchange.status, exchange.body, exchange.answers = at + 0.2, 200, b"made", 1
        seen.exchanges.append(exchange)
        seen.arrivals.append(Arrival(id_, "w1", at + 0.01, at + 0.02, at + 0.15, at + 0.16, True, b"made"))
    return seen


def process() -> Process:
    return Process(
        90.0, ready_at=91.0, terminated_at=110.0, exited_at=111.0, exit_code=0, log="state serving"
    )


def of(seen: Observation, semantics: Semantics) -> tuple[Exchange, Arrival]:
    exchange = next(e for e in seen.exchanges if e.job_class == named(semantics))
    return exchange, next(a for a in seen.arrivals if a.id == exchange.id)


def second_run(semantics: Semantics, after_s: float) -> Callable[[Observation], None]:
    def plant(seen: Observation) -> None:
        _, arrival = of(seen, semantics)
        assert arrival.received_at is not None
        seen.arrivals.append(
            replace(
                arrival,
                worker="w2",
                first_byte_at=arrival.first_byte_at + after_s,
                received_at=arrival.received_at + after_s,
                ended_at=arrival.received_at + after_s + 0.1,
                closed_at=None,
            )
        )

    return plant


def forgets(seen: Observation) -> None:
    exchange = seen.exchanges[0]
    exchange.answered_at, exchange.status, exchange.answers = None, 0, 0


def closes_a_kept_connection_over_a_forwarded_request(seen: Observation) -> None:
    forgets(seen)
    seen.exchanges[0].is_first, seen.exchanges[0].closed_at = False, 101.0


def closes_a_new_connection_unread(seen: Observation) -> None:
    forgets(seen)
    seen.exchanges[0].closed_at = 101.0
    seen.arrivals = [a for a in seen.arrivals if a.id != seen.exchanges[0].id]


def answers_late(seen: Observation) -> None:
    exchange = seen.exchanges[0]
    exchange.answered_at = exchange.begun_at + exchange.deadline_s + 0.6


def answers_twice(seen: Observation) -> None:
    seen.exchanges[0].answers = 2


def invents_an_answer(seen: Observation) -> None:
    seen.exchanges[0].body = b"a second answer"


def refuses_what_ran(seen: Observation) -> None:
    of(seen, Semantics.SINGLE_SHOT)[0].status = 503


def sends_after_a_leave(seen: Observation) -> None:
    exchange, arrival = of(seen, Semantics.FREE)
    exchange.left_at = arrival.first_byte_at - 0.2


def sends_a_second_copy(seen: Observation) -> None:
    _, arrival = of(seen, Semantics.FREE)
    arrival.ended_at = arrival.closed_at = None
    second_run(Semantics.FREE, 0.3)(seen)


def sends_to_a_draining_worker(seen: Observation) -> None:
    seen.drains.append(Drain("w1", enforced_from=99.0, until=105.0))


def crashes(seen: Observation) -> None:
    seen.processes[0].exit_code = -11


def outstays(seen: Observation) -> None:
    seen.processes[0].exited_at = 110.0 + 3.8


def starts_slowly(seen: Observation) -> None:
    seen.processes[0].ready_at = 100.5


def logs_a_fault(seen: Observation) -> None:
    seen.processes[0].log += "\ndecision fault: KeyError()"


def grows(seen: Observation) -> None:
    seen.processes[0].peak_memory_mb = 193.0


def leaks(seen: Observation) -> None:
    seen.processes[0].peak_descriptors = 257


def forgets_a_job(seen: Observation) -> None:
    seen.forgotten_jobs.append("d1")


def keeps_a_bad_client(seen: Observation) -> None:
    seen.bad_client_waits_s.append(3.2)


PLANTED: tuple[tuple[Callable[[Observation], None], str], ...] = (
    (forgets, "lost request"),
    (closes_a_kept_connection_over_a_forwarded_request, "lost request"),
    (closes_a_new_connection_unread, "lost request"),
    (answers_late, "late answer"),
    (answers_twice, "two answers"),
    (invents_an_answer, "foreign answer"),
    (refuses_what_ran, "refused though it ran"),
    (second_run(Semantics.SINGLE_SHOT, 0.5), "ran twice"),
    (second_run(Semantics.GUARDED, 2.1), "ran twice"),
    (sends_a_second_copy, "second copy"),
    (sends_after_a_leave, "sent after its client left"),
    (sends_to_a_draining_worker, "sent to a draining worker"),
    (crashes, "exit code"),
    (outstays, "still there when SIGKILL comes"),
    (starts_slowly, "not ready in time"),
    (logs_a_fault, "fault in the log"),
    (grows, "memory"),
    (leaks, "descriptors"),
    (forgets_a_job, "forgotten job"),
    (keeps_a_bad_client, "bad client kept"),
)


def test_a_run_without_a_fault_breaks_no_rule() -> None:
    assert audit(PLAN, good()) == []


@pytest.mark.parametrize(("plant", "rule"), PLANTED, ids=[rule for _, rule in PLANTED])
def test_the_audit_finds_a_planted_fault(plant: Callable[[Observation], None], rule: str) -> None:
    seen = good()
    plant(seen)
    assert rule in {violation.rule for violation in audit(PLAN, seen)}


def allowed_again(seen: Observation) -> None:
    second_run(Semantics.FREE, 0.5)(seen)


def allowed_within_the_window(seen: Observation) -> None:
    second_run(Semantics.GUARDED, 0.15)(seen)


def allowed_unread_on_a_kept_connection(seen: Observation) -> None:
    closes_a_new_connection_unread(seen)
    seen.exchanges[0].is_first = False


def allowed_of_a_killed_process(seen: Observation) -> None:
    closes_a_kept_connection_over_a_forwarded_request(seen)
    seen.processes[0].killed_at, seen.processes[0].exit_code = 101.0, -9


ALLOWED = (
    allowed_again,
    allowed_within_the_window,
    allowed_unread_on_a_kept_connection,
    allowed_of_a_killed_process,
)


@pytest.mark.parametrize("change", ALLOWED)
def test_the_audit_lets_pass_what_the_pages_allow(change: Callable[[Observation], None]) -> None:
    seen = good()
    change(seen)
    assert audit(PLAN, seen) == []


def test_a_program_that_forgets_a_request_on_a_kept_connection_is_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a client's timeout that is taken for a close, which may cross a request.
    monkeypatch.setattr("benchmarks.soak.clients.LAST_WAIT_S", 0.1)
    plan = replace(PLAN, leaving_share=0.0, slow_share=0.0)
    seen = Observation(processes=[process()])

    async def forget_the_second(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"sheet")
        writer.write(b"HTTP/1.1 429 Busy\r\nContent-Length: 0\r\n\r\n")
        await reader.read()

    async def scene() -> None:
        server = await asyncio.start_server(forget_the_second, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()[:2]
        stop = asyncio.Event()
        client = asyncio.create_task(Client(0, plan, seen, lambda: address, stop).run())
        async with asyncio.timeout(20.0):
            while len(seen.exchanges) < 3:
                await asyncio.sleep(0.01)
        stop.set()
        client.cancel()
        server.close()

    asyncio.run(scene())
    second = seen.exchanges[1]
    assert not second.is_first and second.sent_at is not None
    lost = [violation.text for violation in audit(plan, seen) if violation.rule == "lost request"]
    assert any(second.id in text for text in lost)


def test_a_seed_draws_one_plan_and_others_draw_others() -> None:
    assert draw_plan(7) == draw_plan(7)
    plans = [draw_plan(seed) for seed in range(40)]
    assert len({plan.ending for plan in plans}) == 6
    assert any(plan.durable for plan in plans) and any(plan.membership for plan in plans)
    assert any(plan.crowd for plan in plans) and any(len(plan.reloads) == 3 for plan in plans)


def test_a_failing_seed_prints_the_command_that_replays_it() -> None:
    seen = good()
    forgets(seen)
    plan: Plan = replace(PLAN, seed=4711)
    line = verdict_line(Verdict(plan, seen, audit(plan, seen)))
    assert "FAILED" in line and "python -m benchmarks.soak --seed 4711" in line


@pytest.mark.parametrize("seed", SEEDS)
def test_a_seed_keeps_all_rules(seed: int) -> None:
    verdict = play(draw_plan(seed))
    assert verdict.violations == [], "\n".join(process.log for process in verdict.observation.processes)
    assert len(verdict.observation.exchanges) > 50
