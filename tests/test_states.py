"""The program's states: the table of transitions, and what clients and other schedulers are told of each."""

from __future__ import annotations

import pytest

from oxbowyard.daemon.states import MEMBERSHIP_STATES, TRANSITIONS, InvalidTransition, State, StateMachine
from oxbowyard.peers import facts


def in_state(state: State) -> StateMachine:
    made = StateMachine()
    made.current = state
    return made


def test_every_state_has_transitions_and_a_membership_state() -> None:
    assert set(TRANSITIONS) == set(MEMBERSHIP_STATES) == set(State)
    assert set(MEMBERSHIP_STATES.values()) <= set(facts.STATES)


def test_every_running_state_may_change_to_leaving() -> None:
    ending = {State.LEAVING, State.FINISHING, State.STOPPED}
    assert {state for state in State if State.LEAVING in TRANSITIONS[state]} == set(State) - ending
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
    states = in_state(old)
    if new in TRANSITIONS[old]:
        states.enter(new)
        assert states.current is new and f"state {old.value} -> {new.value}" in caplog.text
        return
    with pytest.raises(InvalidTransition):
        states.enter(new)
    assert states.current is old and not caplog.text


def test_clients_are_served_during_a_configuration_reload() -> None:
    assert {state for state in State if in_state(state).is_serving} == {State.SERVING, State.RELOADING}
    for state in State:
        states = in_state(state)
        states.discovery_settled()
        assert states.current is (State.SERVING if state is State.RELOADING else state)
