"""States of the program: the table of transitions, and what each state means to clients and other
schedulers.
"""

from __future__ import annotations

import pytest

from oxbowyard.daemon.states import (
    MEMBERSHIP_STATES,
    TRANSITIONS,
    InvalidTransitionError,
    State,
    StateMachine,
)
from oxbowyard.peers import facts


def machine_in(state: State) -> StateMachine:
    machine = StateMachine()
    machine.current = state
    return machine


def test_every_state_has_transitions_and_a_membership_state() -> None:
    assert set(TRANSITIONS) == set(MEMBERSHIP_STATES) == set(State)
    assert set(MEMBERSHIP_STATES.values()) <= set(facts.STATES)


def test_every_running_state_may_change_to_leaving() -> None:
    stopping = {State.LEAVING, State.FINISHING, State.STOPPED}
    assert {state for state in State if State.LEAVING in TRANSITIONS[state]} == set(State) - stopping
    assert [TRANSITIONS[state] for state in (State.LEAVING, State.FINISHING, State.STOPPED)] == [
        {State.FINISHING},
        {State.STOPPED},
        set(),
    ]


@pytest.mark.parametrize("old", State)
@pytest.mark.parametrize("new", State)
def test_only_transitions_of_the_table_are_made_and_logged(
    old: State, new: State, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level("INFO")
    states = machine_in(old)
    if new in TRANSITIONS[old]:
        states.enter(new)
        assert states.current is new and f"state {old.value} -> {new.value}" in caplog.text
        return
    with pytest.raises(InvalidTransitionError):
        states.enter(new)
    assert states.current is old and not caplog.text


def test_clients_are_served_during_a_configuration_reload() -> None:
    assert {state for state in State if machine_in(state).is_serving} == {State.SERVING, State.RELOADING}
    for state in State:
        states = machine_in(state)
        states.discovery_settled()
        assert states.current is (State.SERVING if state is State.RELOADING else state)
