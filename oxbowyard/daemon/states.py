"""The states of the program and the transitions between them."""

from __future__ import annotations

import logging
from enum import Enum

log = logging.getLogger("oxbowyard.daemon")


class State(Enum):
    """The states of the program. The values appear in the log."""

    STARTING = "starting"  # waits for the list of workers; /up reports not ready
    SERVING = "serving"
    RELOADING = "reloading"  # serves with the current list until discovery has answered at its new address
    HANDING_OVER = "handing over"  # accepts no connections: the successor process does
    LEAVING = "leaving"  # stop requested: still accepts connections, and each answer closes its own
    FINISHING = "finishing"  # accepts no connections, answers the open requests
    STOPPED = "stopped"


TRANSITIONS = {
    State.STARTING: frozenset({State.SERVING, State.LEAVING}),
    State.SERVING: frozenset({State.RELOADING, State.HANDING_OVER, State.LEAVING}),
    State.RELOADING: frozenset({State.SERVING, State.HANDING_OVER, State.LEAVING}),
    State.HANDING_OVER: frozenset({State.SERVING, State.LEAVING}),  # SERVING: the successor has exited
    State.LEAVING: frozenset({State.FINISHING}),
    State.FINISHING: frozenset({State.STOPPED}),
    State.STOPPED: frozenset(),
}

# The states that membership announces to the other schedulers, by the names that it uses.
MEMBERSHIP_STATES = {
    State.STARTING: "joining",
    State.SERVING: "serving",
    State.RELOADING: "serving",
    State.HANDING_OVER: "left",
    State.LEAVING: "draining",
    State.FINISHING: "draining",
    State.STOPPED: "left",
}


class InvalidTransitionError(RuntimeError):
    """A transition that is not in TRANSITIONS, which is a bug in this package."""


class StateMachine:
    """The current state of one program."""

    def __init__(self) -> None:
        self.current = State.STARTING

    @property
    def is_serving(self) -> bool:
        """Whether clients are served normally, which is also what `/up` reports."""
        return self.current in (State.SERVING, State.RELOADING)

    @property
    def membership_state(self) -> str:
        """The name under which the other schedulers know the current state."""
        return MEMBERSHIP_STATES[self.current]

    def enter(self, state: State) -> None:
        """Change to another state and log the transition. Raises InvalidTransitionError."""
        if state not in TRANSITIONS[self.current]:
            raise InvalidTransitionError(f"{self.current.value} -> {state.value}")
        log.info("state %s -> %s", self.current.value, state.value)
        self.current = state

    def discovery_settled(self) -> None:
        """End a reload: discovery has answered at the address that was set last."""
        if self.current is State.RELOADING:
            self.enter(State.SERVING)
