"""The states of the program and the transitions between them."""

from __future__ import annotations

import logging
from enum import Enum

log = logging.getLogger("oxbowyard.daemon")


class State(Enum):
    """The states of the program. The values are those that the log shows."""

    STARTING = "starting"  # waits for the list of workers; /up says no
    SERVING = "serving"
    RELOADING = "reloading"  # serves by the list in hand until discovery has answered at its new address
    HANDING_OVER = "handing over"  # accepts nothing: the process that replaces this one does
    LEAVING = "leaving"  # told to stop: still accepts, each answer closes its connection
    FINISHING = "finishing"  # accepts nothing, answers what was taken
    STOPPED = "stopped"


TRANSITIONS = {
    State.STARTING: frozenset({State.SERVING, State.LEAVING}),
    State.SERVING: frozenset({State.RELOADING, State.HANDING_OVER, State.LEAVING}),
    State.RELOADING: frozenset({State.SERVING, State.HANDING_OVER, State.LEAVING}),
    State.HANDING_OVER: frozenset({State.SERVING, State.LEAVING}),  # serving: the new process has gone
    State.LEAVING: frozenset({State.FINISHING}),
    State.FINISHING: frozenset({State.STOPPED}),
    State.STOPPED: frozenset(),
}

# What the other schedulers are told by membership, which has states of its own.
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
    """A transition that the table does not have: a fault in this package."""


class StateMachine:
    """The current state of one program."""

    def __init__(self) -> None:
        self.current = State.STARTING

    @property
    def is_serving(self) -> bool:
        """Whether clients are served normally; what `/up` tells."""
        return self.current in (State.SERVING, State.RELOADING)

    @property
    def membership_state(self) -> str:
        """The state by the name that the other schedulers know it by."""
        return MEMBERSHIP_STATES[self.current]

    def enter(self, state: State) -> None:
        """Change to another state and log it; raises InvalidTransitionError."""
        if state not in TRANSITIONS[self.current]:
            raise InvalidTransitionError(f"{self.current.value} -> {state.value}")
        log.info("state %s -> %s", self.current.value, state.value)
        self.current = state

    def discovery_settled(self) -> None:
        """Discovery has answered at the address asked for last, which ends a reload."""
        if self.current is State.RELOADING:
            self.enter(State.SERVING)
