"""The soak test: its audit finds injected faults, a seed determines the plan, and runs of some seeds violate
no rule.
"""

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


def class_name(semantics: Semantics) -> str:
    return next(c.name for c in PLAN.classes if c.semantics is semantics)


def clean_run() -> Observation:
    """Return a run without faults: one request of each class, served by one worker."""
    observation = Observation(processes=[clean_process()])
    for number, job_class in enumerate(PLAN.classes):
        at, id_ = 100.0 + number, f"r{number}"
        exchange = Exchange(id_, job_class.name, job_class.deadline_s, True, at, sent_at=at)
        exchange.answered_at, exchange.status, exchange.body, exchange.answers = at + 0.2, 200, b"made", 1
        observation.exchanges.append(exchange)
        observation.arrivals.append(
            Arrival(id_, "w1", at + 0.01, at + 0.02, at + 0.15, at + 0.16, True, b"made")
        )
    return observation


def clean_process() -> Process:
    return Process(
        90.0, ready_at=91.0, terminated_at=110.0, exited_at=111.0, exit_code=0, log="state serving"
    )


def exchange_and_arrival(observation: Observation, semantics: Semantics) -> tuple[Exchange, Arrival]:
    exchange = next(e for e in observation.exchanges if e.job_class == class_name(semantics))
    return exchange, next(a for a in observation.arrivals if a.id == exchange.id)


def inject_second_run(semantics: Semantics, after_s: float) -> Callable[[Observation], None]:
    def inject(observation: Observation) -> None:
        _, arrival = exchange_and_arrival(observation, semantics)
        assert arrival.received_at is not None
        observation.arrivals.append(
            replace(
                arrival,
                worker="w2",
                first_byte_at=arrival.first_byte_at + after_s,
                received_at=arrival.received_at + after_s,
                ended_at=arrival.received_at + after_s + 0.1,
                closed_at=None,
            )
        )

    return inject


def lose_answer(observation: Observation) -> None:
    exchange = observation.exchanges[0]
    exchange.answered_at, exchange.status, exchange.answers = None, 0, 0


def close_keep_alive_connection_after_forwarding(observation: Observation) -> None:
    lose_answer(observation)
    observation.exchanges[0].is_first, observation.exchanges[0].closed_at = False, 101.0


def close_new_connection_unread(observation: Observation) -> None:
    lose_answer(observation)
    observation.exchanges[0].closed_at = 101.0
    observation.arrivals = [a for a in observation.arrivals if a.id != observation.exchanges[0].id]


def answer_late(observation: Observation) -> None:
    exchange = observation.exchanges[0]
    exchange.answered_at = exchange.begun_at + exchange.deadline_s + 0.6


def answer_twice(observation: Observation) -> None:
    observation.exchanges[0].answers = 2


def return_foreign_answer(observation: Observation) -> None:
    observation.exchanges[0].body = b"a second answer"


def reject_request_that_ran(observation: Observation) -> None:
    exchange_and_arrival(observation, Semantics.SINGLE_SHOT)[0].status = 503


def send_after_client_left(observation: Observation) -> None:
    exchange, arrival = exchange_and_arrival(observation, Semantics.FREE)
    exchange.left_at = arrival.first_byte_at - 0.2


def send_second_copy(observation: Observation) -> None:
    _, arrival = exchange_and_arrival(observation, Semantics.FREE)
    arrival.ended_at = arrival.closed_at = None
    inject_second_run(Semantics.FREE, 0.3)(observation)


def send_to_draining_worker(observation: Observation) -> None:
    observation.drains.append(Drain("w1", enforced_from=99.0, until=105.0))


def crash(observation: Observation) -> None:
    observation.processes[0].exit_code = -11


def exit_too_late(observation: Observation) -> None:
    observation.processes[0].exited_at = 110.0 + 3.8


def become_ready_late(observation: Observation) -> None:
    observation.processes[0].ready_at = 100.5


def log_fault(observation: Observation) -> None:
    observation.processes[0].log += "\ndecision fault: KeyError()"


def exceed_memory(observation: Observation) -> None:
    observation.processes[0].peak_memory_mb = 0.81 * PLAN.memory_mb


def block_event_loop(observation: Observation) -> None:
    observation.processes[0].log += "\nevent loop lag: lag_ms=160"


def run_repeated_id(observation: Observation) -> None:
    exchange, arrival = exchange_and_arrival(observation, Semantics.SINGLE_SHOT)
    observation.exchanges.append(replace(exchange, begun_at=exchange.begun_at + 1.0))
    observation.arrivals.append(replace(arrival, first_byte_at=102.9, received_at=102.9, ended_at=102.95))


def leak_descriptors(observation: Observation) -> None:
    observation.processes[0].peak_descriptors = 257


def lose_deferred_job(observation: Observation) -> None:
    observation.forgotten_jobs.append("d1")


def keep_bad_client_connected(observation: Observation) -> None:
    observation.bad_client_waits_s.append(3.2)


INJECTED_FAULTS: tuple[tuple[Callable[[Observation], None], str], ...] = (
    (lose_answer, "lost request"),
    (close_keep_alive_connection_after_forwarding, "lost request"),
    (close_new_connection_unread, "lost request"),
    (answer_late, "late answer"),
    (answer_twice, "two answers"),
    (return_foreign_answer, "foreign answer"),
    (reject_request_that_ran, "refused though it ran"),
    (inject_second_run(Semantics.SINGLE_SHOT, 0.5), "ran twice"),
    (inject_second_run(Semantics.GUARDED, 2.1), "ran twice"),
    (send_second_copy, "second copy"),
    (send_after_client_left, "sent after its client left"),
    (send_to_draining_worker, "sent to a draining worker"),
    (crash, "exit code"),
    (exit_too_late, "still there when SIGKILL comes"),
    (become_ready_late, "not ready in time"),
    (log_fault, "fault in the log"),
    (exceed_memory, "memory"),
    (block_event_loop, "lag"),
    (run_repeated_id, "ran twice"),
    (leak_descriptors, "descriptors"),
    (lose_deferred_job, "forgotten job"),
    (keep_bad_client_connected, "bad client kept"),
)


def test_the_audit_reports_nothing_for_a_run_without_faults() -> None:
    assert audit(PLAN, clean_run()) == []


@pytest.mark.parametrize(("inject", "rule"), INJECTED_FAULTS, ids=[rule for _, rule in INJECTED_FAULTS])
def test_the_audit_finds_each_injected_fault(inject: Callable[[Observation], None], rule: str) -> None:
    observation = clean_run()
    inject(observation)
    assert rule in {violation.rule for violation in audit(PLAN, observation)}


def allowed_second_run_of_free_class(observation: Observation) -> None:
    inject_second_run(Semantics.FREE, 0.5)(observation)


def allowed_second_run_within_the_window(observation: Observation) -> None:
    inject_second_run(Semantics.GUARDED, 0.15)(observation)


def allowed_unread_close_of_keep_alive_connection(observation: Observation) -> None:
    close_new_connection_unread(observation)
    observation.exchanges[0].is_first = False


def allowed_loss_by_killed_process(observation: Observation) -> None:
    close_keep_alive_connection_after_forwarding(observation)
    observation.processes[0].killed_at, observation.processes[0].exit_code = 101.0, -9


ALLOWED = (
    allowed_second_run_of_free_class,
    allowed_second_run_within_the_window,
    allowed_unread_close_of_keep_alive_connection,
    allowed_loss_by_killed_process,
)


@pytest.mark.parametrize("apply_change", ALLOWED)
def test_the_audit_accepts_behaviour_that_the_contract_allows(
    apply_change: Callable[[Observation], None],
) -> None:
    observation = clean_run()
    apply_change(observation)
    assert audit(PLAN, observation) == []


def test_the_audit_finds_a_request_lost_on_a_keep_alive_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against an audit that takes a client's timeout for a close by the server. A close may cross a
    # request on a keep-alive connection, which excuses its loss; a timeout does not.
    monkeypatch.setattr("benchmarks.soak.clients.LAST_WAIT_S", 0.1)
    plan = replace(PLAN, leaving_share=0.0, slow_share=0.0)
    observation = Observation(processes=[clean_process()])

    async def drop_second_request(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"sheet")
        writer.write(b"HTTP/1.1 429 Busy\r\nContent-Length: 0\r\n\r\n")
        await reader.read()

    async def run() -> None:
        server = await asyncio.start_server(drop_second_request, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()[:2]
        stop = asyncio.Event()
        client = asyncio.create_task(Client(0, plan, observation, lambda: address, stop).run())
        async with asyncio.timeout(20.0):
            while len(observation.exchanges) < 3:
                await asyncio.sleep(0.01)
        stop.set()
        client.cancel()
        server.close()

    asyncio.run(run())
    second = observation.exchanges[1]
    assert not second.is_first and second.sent_at is not None
    lost = [violation.text for violation in audit(plan, observation) if violation.rule == "lost request"]
    assert any(second.id in text for text in lost)


def test_each_seed_draws_the_same_plan_and_different_seeds_differ() -> None:
    assert draw_plan(7) == draw_plan(7)
    plans = [draw_plan(seed) for seed in range(40)]
    assert len({plan.ending for plan in plans}) == 6
    assert any(plan.durable for plan in plans) and any(plan.membership for plan in plans)
    assert any(plan.crowd for plan in plans) and any(len(plan.reloads) == 3 for plan in plans)


def test_a_failing_seed_prints_the_command_that_replays_it() -> None:
    observation = clean_run()
    lose_answer(observation)
    plan: Plan = replace(PLAN, seed=4711)
    line = verdict_line(Verdict(plan, observation, audit(plan, observation)))
    assert "FAILED" in line and "python -m benchmarks.soak --seed 4711" in line


@pytest.mark.parametrize("seed", SEEDS)
def test_a_soak_run_violates_no_rule(seed: int) -> None:
    verdict = play(draw_plan(seed))
    assert verdict.violations == [], "\n".join(process.log for process in verdict.observation.processes)
    assert len(verdict.observation.exchanges) > 50
