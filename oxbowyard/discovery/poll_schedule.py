"""When the discovery service is polled, and how long an answer is awaited. Does no I/O and reads no clock.

A change of the endpoint list counts as notified `NOTIFIED_WITHIN_S` after the service had it and could be
reached, whether or not the scheduler has received it. So the sum of what lies between a failure and the next
answer has to stay below that bound: detecting that a watch is dead, the delay before the next poll, a poll
that fails as well, and the answer. docs/design/list-freshness.md has the sum by number of schedulers.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum
from random import Random

# The platform's bounds: a drain binds so long after the service had it, received or not.
NOTIFIED_WITHIN_S = 6.0
NOTIFIED_AFTER_MOVE_S = 4.0  # the same after a configuration that names another address
NOTIFIED_MARGIN_S = 0.25  # kept off both, for an event loop that runs late and an answer on its way
CONNECT_TIMEOUT_S = 0.5

# A service that is down, or its front, may reject each poll at once, or each after a while. Only one that is
# overloaded does both: at once where its queue is full, later where a poll has queued for too long.
IMMEDIATE_ERROR_S = 0.1
QUEUED_ERROR_S = 1.0

# An agent on this machine answers at once and at no cost. It drops a watch 0.2 s after its last answer.
AGENT_RETRY_DELAY_S = 0.1
AGENT_WAIT_MS = 2000
AGENT_TIMEOUT_S = 0.5  # past the poll's wait
AGENT_SLOW_AFTER_FAILURES = 30  # in a row: from then on it may be there, but slow
AGENT_SLOW_TIMEOUT_S = 1.25

# One service for all schedulers. Continuing a watch costs it nothing, opening one does.
SHARED_WAIT_MS = 1000
MIN_SHARED_WAIT_MS = 500.0
CONTINUED_TIMEOUT_S = 0.45  # past the poll's wait
MIN_OPEN_TIMEOUT_S = 1.05  # for a poll that opens a watch
MAX_OPEN_TIMEOUT_S = 2.5
QUICK_RETRIES = 2  # polls in a row that time out and are retried nearly at once: a third would be too late
QUICK_RETRY_SPREAD_S = 0.2
LONG_TIMEOUT_EVERY = 4  # failures: one poll in so many finds out whether the service is only slow
# The rate at which all schedulers together open watches. A service that opens fewer cannot notify 200
# schedulers within the bound in any case.
OPENED_WATCHES_PER_S = 50.0
FIRST_POLLS_PER_S = 20.0  # the same after a start, where no time was lost by a dead watch
MIN_SPREAD_S = 1.2
MAX_SPREAD_S = 4.0
# After a dead watch, detecting it and a poll that times out have to fit in as well. Waits that end at other
# times at each scheduler spread the polls by themselves.
MIN_REOPEN_SPREAD_S = 0.25
MAX_REOPEN_SPREAD_S = 2.75
MAX_MOVE_SPREAD_S = 2.0  # one poll that times out fits into NOTIFIED_AFTER_MOVE_S as well
PERIOD_JITTER_SHARE = 0.1  # of the period of polls to a service that can't be reached
OVERLOAD_SPACING_S = 0.25  # for each scheduler: an overloaded service does not bear OPENED_WATCHES_PER_S
POLL_INTERVAL_MARGIN_MS = 500.0  # kept off the settings' `askEvery`


class PollFailure(Enum):
    """Why a poll of the discovery service brought no endpoint list."""

    UNREACHABLE = "unreachable"  # refused, reset, never connected, or an answer that is no endpoint list
    TIMEOUT = "timeout"  # connected, and no answer in time
    ERROR_STATUS = "rejected"  # answered with another status than 200


@dataclass(slots=True)
class PollSchedule:
    """Delays and timeouts of one scheduler's polls.

    An agent on the scheduler's own machine is polled again soon: nobody else waits for it. Polls of a service
    that all schedulers share are spread by chance over a time that grows with their number: what one of them
    may do at once, forty that were restarted together may not.

    All times are seconds on the caller's clock, unless their name says otherwise.
    """

    is_shared: bool  # one service for all schedulers, not an agent of this scheduler's own
    schedulers: int
    random: Random
    max_poll_interval_ms: float = math.inf  # unpolled for longer, all that the service has counts as notified
    consecutive_failures: int = 0
    list_expires_at: float = math.inf  # the service has answered since, but not with its list
    _notification_due_at: float = math.inf  # when a change that was missed may begin to count as notified
    _has_immediate_error: bool = False  # a poll of this outage
    _has_queued_error: bool = False
    _has_phase: bool = False  # the polls of this outage have their place within the period

    def set_scheduler_count(self, schedulers: int) -> None:
        """From now on this many schedulers, at least one, poll the same service."""
        self.schedulers = max(schedulers, 1)

    # ---- How long a poll may take ----

    @property
    def wait_ms(self) -> int:
        """How long the service may hold a poll that continues a watch, in milliseconds."""
        if not self.is_shared:
            return AGENT_WAIT_MS
        allowed = self.max_poll_interval_ms - MAX_OPEN_TIMEOUT_S * 1000 - POLL_INTERVAL_MARGIN_MS
        return int(min(SHARED_WAIT_MS, max(allowed, MIN_SHARED_WAIT_MS)))

    def timeout_s(self, now: float, is_continuation: bool) -> float:
        """How many seconds past its wait a poll is given.

        `is_continuation`: it continues a watch, and does not open one.
        """
        if not self.is_shared:
            slow = self.consecutive_failures >= AGENT_SLOW_AFTER_FAILURES
            return AGENT_SLOW_TIMEOUT_S if slow else AGENT_TIMEOUT_S
        if is_continuation:
            return CONTINUED_TIMEOUT_S
        return self._open_timeout_s(now)

    def _open_timeout_s(self, now: float) -> float:
        if self._is_overloaded:
            return MAX_OPEN_TIMEOUT_S
        if self.consecutive_failures > QUICK_RETRIES:
            long = self.consecutive_failures % LONG_TIMEOUT_EVERY == 0
            return MAX_OPEN_TIMEOUT_S if long else MIN_OPEN_TIMEOUT_S
        # Half of the time that is left: if the poll fails, the other half serves the next one.
        half_left = (self._notification_due_at - now) / 2
        return min(max(half_left, MIN_OPEN_TIMEOUT_S), MAX_OPEN_TIMEOUT_S)

    # ---- When the next poll is made ----

    def first_delay_s(self, now: float) -> float:
        """Seconds to wait before the first poll, where a list from before is being served."""
        self._notification_due_at = now + NOTIFIED_WITHIN_S - NOTIFIED_MARGIN_S
        return self.random.uniform(0.0, self._first_spread_s) if self.is_shared else 0.0

    def move_delay_s(self, now: float) -> float:
        """Seconds to wait before the first poll of another address; all schedulers may move to it at once."""
        self._notification_due_at = now + NOTIFIED_AFTER_MOVE_S - NOTIFIED_MARGIN_S
        spread = min(self.schedulers / OPENED_WATCHES_PER_S, MAX_MOVE_SPREAD_S)
        return self.random.uniform(0.0, spread) if self.is_shared else 0.0

    def record_answer(self, now: float) -> None:
        """A poll was answered: the next failure is the first of its outage."""
        self.consecutive_failures = 0
        self._has_phase = False
        self._has_immediate_error = False
        self._has_queued_error = False
        self._notification_due_at = now + NOTIFIED_WITHIN_S - NOTIFIED_MARGIN_S
        self.list_expires_at = math.inf

    def record_failure(
        self, now: float, failure: PollFailure, elapsed_s: float, is_continuation: bool = False
    ) -> float:
        """A poll has failed; returns the seconds to wait before the next one.

        `elapsed_s`: how long the poll lasted. `is_continuation`: it continued a watch, which is dead from here on,
        perhaps since the poll began.
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
        # At a steady rate: twice as many polls, spread by chance, would come no sooner at the worst.
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
        wanted = self.schedulers / OPENED_WATCHES_PER_S - self.wait_ms / 1000
        return min(max(wanted, MIN_REOPEN_SPREAD_S), MAX_REOPEN_SPREAD_S)

    @property
    def _period_s(self) -> float:
        """With each scheduler polling once in this time, the service bears the rate of all."""
        return min(max(self.schedulers / OPENED_WATCHES_PER_S, MIN_SPREAD_S), MAX_SPREAD_S)
