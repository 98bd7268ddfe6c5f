"""The schedule of polls to the discovery service: delays and timeouts. Does no I/O and reads no clock.

A change of the endpoint list counts as notified `NOTIFIED_WITHIN_S` after the service had it and was
reachable, whether or not the scheduler has received it. So the total time from a failure to the next answer
must stay below that bound. It includes detecting that a watch is dead, the delay before the next poll, one
more poll that fails, and the answer. docs/design/list-freshness.md lists the total by number of schedulers.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum
from random import Random

# The platform's bounds: a drain is binding this long after the service had it, received or not.
NOTIFIED_WITHIN_S = 6.0
NOTIFIED_AFTER_MOVE_S = 4.0  # the bound after the configuration changed the address
NOTIFIED_MARGIN_S = 0.25  # subtracted from both, for a delayed event loop and the transfer of the answer
CONNECT_TIMEOUT_S = 0.5

# A service that is down, or its proxy, may answer every poll with an error immediately, or every poll after a
# while. Only an overloaded one does both: immediately if its queue is full, later if a poll waited too long.
IMMEDIATE_ERROR_S = 0.1
QUEUED_ERROR_S = 1.0

# An agent on this machine answers immediately and at no cost. It drops a watch 0.2 s after its last answer.
AGENT_RETRY_DELAY_S = 0.1
AGENT_WAIT_MS = 2000
AGENT_TIMEOUT_S = 0.5  # in addition to the wait requested by the poll
AGENT_SLOW_AFTER_FAILURES = 30  # consecutive; from then on the agent is assumed to be slow
AGENT_SLOW_TIMEOUT_S = 1.25

# A service shared by all schedulers. Continuing a watch costs it nothing, but opening one does.
SHARED_WAIT_MS = 1000
MIN_SHARED_WAIT_MS = 500.0
CONTINUED_TIMEOUT_S = 0.45  # in addition to the wait requested by the poll
MIN_OPEN_TIMEOUT_S = 1.05  # for a poll that opens a watch
MAX_OPEN_TIMEOUT_S = 2.5
QUICK_RETRIES = 2  # consecutive timeouts that are retried almost immediately; a third would be too late
QUICK_RETRY_SPREAD_S = 0.2
LONG_TIMEOUT_EVERY = 4  # one poll in this many failures has a long timeout, in case the service is only slow
# The rate at which all schedulers together open watches. A service with a lower capacity cannot notify 200
# schedulers within the bound in any case.
OPENED_WATCHES_PER_S = 50.0
FIRST_POLLS_PER_S = 20.0  # the rate after a start, when no time was lost to a dead watch
MIN_SPREAD_S = 1.2
MAX_SPREAD_S = 4.0
# After a dead watch, its detection and a poll that times out have to fit into the bound as well. The
# schedulers' waits end at different times, which already spreads the polls.
MIN_REOPEN_SPREAD_S = 0.25
MAX_REOPEN_SPREAD_S = 2.75
MAX_MOVE_SPREAD_S = 2.0  # leaves time for one timeout within NOTIFIED_AFTER_MOVE_S
PERIOD_JITTER_SHARE = 0.1  # of the poll period while the service is unreachable
OVERLOAD_SPACING_S = 0.25  # per scheduler: an overloaded service cannot open OPENED_WATCHES_PER_S
POLL_INTERVAL_MARGIN_MS = 500.0  # subtracted from the setting `askEvery`


class PollFailure(Enum):
    """Why a poll of the discovery service brought no endpoint list."""

    UNREACHABLE = "unreachable"  # refused, reset, not connected, or the answer is not a valid endpoint list
    TIMEOUT = "timeout"  # connected, but no answer in time
    ERROR_STATUS = "rejected"  # answered with a status other than 200


@dataclass(slots=True)
class PollSchedule:
    """Computes the delays and timeouts of one scheduler's polls.

    An agent on the scheduler's own machine is polled again soon, because no other scheduler uses it. Polls of
    a service shared by all schedulers are spread randomly over a time that grows with the number of
    schedulers, because forty schedulers that restart together must not poll at the same moment.

    All times are seconds on the caller's clock, unless their name says otherwise.
    """

    is_shared: bool  # one service for all schedulers, not an agent of this scheduler alone
    schedulers: int
    random: Random
    max_poll_interval_ms: float = math.inf  # after a longer pause all changes count as notified
    consecutive_failures: int = 0
    list_expires_at: float = math.inf  # finite if the service answers, but not with its list
    _notification_due_at: float = math.inf  # when a missed change may start to count as notified
    _has_immediate_error: bool = False  # in this outage; likewise below
    _has_queued_error: bool = False
    _has_phase: bool = False  # the random offset of this outage's polls is chosen

    def set_scheduler_count(self, schedulers: int) -> None:
        """Set the number of schedulers that poll the same service; at least one is assumed."""
        self.schedulers = max(schedulers, 1)

    # ---- How long a poll may take ----

    @property
    def wait_ms(self) -> int:
        """Return how long the service may hold a poll that continues a watch, in milliseconds."""
        if not self.is_shared:
            return AGENT_WAIT_MS
        allowed = self.max_poll_interval_ms - MAX_OPEN_TIMEOUT_S * 1000 - POLL_INTERVAL_MARGIN_MS
        return int(min(SHARED_WAIT_MS, max(allowed, MIN_SHARED_WAIT_MS)))

    def timeout_s(self, now: float, is_continuation: bool) -> float:
        """Return the timeout of a poll in seconds, in addition to its wait.

        `is_continuation`: the poll continues a watch instead of opening one.
        """
        if not self.is_shared:
            is_slow = self.consecutive_failures >= AGENT_SLOW_AFTER_FAILURES
            return AGENT_SLOW_TIMEOUT_S if is_slow else AGENT_TIMEOUT_S
        if is_continuation:
            return CONTINUED_TIMEOUT_S
        return self._open_timeout_s(now)

    def _open_timeout_s(self, now: float) -> float:
        if self._is_overloaded:
            return MAX_OPEN_TIMEOUT_S
        if self.consecutive_failures > QUICK_RETRIES:
            is_long = self.consecutive_failures % LONG_TIMEOUT_EVERY == 0
            return MAX_OPEN_TIMEOUT_S if is_long else MIN_OPEN_TIMEOUT_S
        # Use half of the remaining time, so that the other half is left for a further poll if this one fails.
        half_left = (self._notification_due_at - now) / 2
        return min(max(half_left, MIN_OPEN_TIMEOUT_S), MAX_OPEN_TIMEOUT_S)

    # ---- When the next poll is made ----

    def first_delay_s(self, now: float) -> float:
        """Return the delay before the first poll in seconds, if an earlier list is in use."""
        self._notification_due_at = now + NOTIFIED_WITHIN_S - NOTIFIED_MARGIN_S
        return self.random.uniform(0.0, self._first_spread_s) if self.is_shared else 0.0

    def move_delay_s(self, now: float) -> float:
        """Return the delay before the first poll of a new address in seconds.

        It is spread because all schedulers may switch to the address at the same time.
        """
        self._notification_due_at = now + NOTIFIED_AFTER_MOVE_S - NOTIFIED_MARGIN_S
        spread = min(self.schedulers / OPENED_WATCHES_PER_S, MAX_MOVE_SPREAD_S)
        return self.random.uniform(0.0, spread) if self.is_shared else 0.0

    def record_answer(self, now: float) -> None:
        """Record that a poll was answered. The next failure starts a new outage."""
        self.consecutive_failures = 0
        self._has_phase = False
        self._has_immediate_error = False
        self._has_queued_error = False
        self._notification_due_at = now + NOTIFIED_WITHIN_S - NOTIFIED_MARGIN_S
        self.list_expires_at = math.inf

    def record_failure(
        self, now: float, failure: PollFailure, elapsed_s: float, is_continuation: bool = False
    ) -> float:
        """Record a failed poll and return the delay before the next one in seconds.

        `elapsed_s`: how long the poll lasted. `is_continuation`: the poll continued a watch, which is now
        dead, possibly since the poll started.
        """
        self.consecutive_failures += 1
        if not self.is_shared:
            return AGENT_RETRY_DELAY_S
        if is_continuation:
            self._notification_due_at = now - elapsed_s + NOTIFIED_WITHIN_S - NOTIFIED_MARGIN_S
            return self._random_delay_s(self._reopen_spread_s)
        if failure is PollFailure.ERROR_STATUS:
            self._record_error_status(now, elapsed_s)
        return self._retry_delay_s(failure, elapsed_s)

    def _record_error_status(self, now: float, elapsed_s: float) -> None:
        self._has_immediate_error |= elapsed_s < IMMEDIATE_ERROR_S
        self._has_queued_error |= elapsed_s >= QUEUED_ERROR_S
        if self._is_overloaded:
            expires_at = now - elapsed_s + NOTIFIED_WITHIN_S - NOTIFIED_MARGIN_S
            self.list_expires_at = min(self.list_expires_at, expires_at)

    def _retry_delay_s(self, failure: PollFailure, elapsed_s: float) -> float:
        if self._is_overloaded:
            spread = max(OVERLOAD_SPACING_S * self.schedulers, 2 * MAX_OPEN_TIMEOUT_S)
            return self.random.uniform(MAX_OPEN_TIMEOUT_S, spread)
        if failure is PollFailure.TIMEOUT and self.consecutive_failures <= QUICK_RETRIES + 1:
            return self._random_delay_s(QUICK_RETRY_SPREAD_S)
        if elapsed_s < IMMEDIATE_ERROR_S and not self._has_phase:
            self._has_phase = True
            return self._random_delay_s(self._period_s)
        # Poll at a steady rate: twice as many polls at random times would not be faster in the worst case.
        jitter = self.random.uniform(1 - PERIOD_JITTER_SHARE, 1 + PERIOD_JITTER_SHARE)
        return max(self._period_s * jitter - elapsed_s, AGENT_RETRY_DELAY_S)

    def _random_delay_s(self, spread_s: float) -> float:
        return max(self.random.uniform(0.0, spread_s), AGENT_RETRY_DELAY_S)

    @property
    def _is_overloaded(self) -> bool:
        return self._has_immediate_error and self._has_queued_error

    @property
    def _first_spread_s(self) -> float:
        return min(max(self.schedulers / FIRST_POLLS_PER_S, MIN_SPREAD_S), MAX_SPREAD_S)

    @property
    def _reopen_spread_s(self) -> float:
        needed = self.schedulers / OPENED_WATCHES_PER_S - self.wait_ms / 1000
        return min(max(needed, MIN_REOPEN_SPREAD_S), MAX_REOPEN_SPREAD_S)

    @property
    def _period_s(self) -> float:
        """Return the poll period at which the service can handle the polls of all schedulers."""
        return min(max(self.schedulers / OPENED_WATCHES_PER_S, MIN_SPREAD_S), MAX_SPREAD_S)
