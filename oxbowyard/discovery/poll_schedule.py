"""When the discovery service is called, and how long an answer is waited for. Without I/O or clock.

A change of the list counts as told `TOLD_WITHIN_S` after the service had it and could be reached, whether or
not it arrived. So the sum of what lies between a failure and the next answer has to stay below that: noticing
that a watch is dead, the pause before the next call, a call that fails as well, and the answer.
docs/design/list-freshness.md has the sum for each number of schedulers.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum
from random import Random

TOLD_WITHIN_S = 6.0  # the protocol's bound; from here on a drain that was not heard is binding all the same
TOLD_AFTER_MOVE_S = 4.0  # the same after a configuration that names another address
MARGIN_S = 0.25  # kept off it, for a loop that runs late and an answer on its way
CONNECT_TIMEOUT_S = 0.5  # a connection that takes longer to come up counts as unreachable
# A service that is down, or its front, may turn each call down at once, or each after a while. One that is
# full does both: what finds no room in its queue at once, the rest when it has waited too long.
AT_ONCE_S, AFTER_A_WAIT_S = 0.1, 1.0

# An agent on this machine answers at once and at no cost; a watch lapses 0.2 s after the last answer.
AGENT_PAUSE_S = 0.1
AGENT_WAIT_MS = 2000
AGENT_TIMEOUT_S = 0.5  # past its wait
PATIENT_AFTER, PATIENT_TIMEOUT_S = 30, 1.25  # failed calls in a row; then it may be there, but slow

# One service for all schedulers. To go on with a watch costs it nothing, to begin one does.
SHARED_WAIT_MS = 1000
LEAST_WAIT_MS = 500.0
CONTINUED_TIMEOUT_S = 0.45  # past its wait
LEAST_TIMEOUT_S, LONGEST_TIMEOUT_S = 1.05, 2.5  # for a call that begins a watch
QUICK_RETRIES = 2  # silent calls in a row that are repeated nearly at once: later the 6 s are over anyway
QUICK_RETRY_S = 0.2
# The rate at which all schedulers together begin watches. An own limit: a service that bears less cannot tell
# 200 schedulers within the 6 s, whatever they do.
BEGINS_PER_S = 50.0
FIRST_CALLS_PER_S = 20.0  # the same after a start, where no time was lost by a dead watch
LEAST_SPREAD_S, LONGEST_SPREAD_S = 1.2, 4.0
# After a dead watch noticing it and a silent call have to fit in as well. The waits of the watches, which end
# at other times at each scheduler, spread the calls by themselves.
LEAST_REOPEN_S, LONGEST_REOPEN_S = 0.25, 2.75
LONGEST_MOVE_S = 2.0  # to another address: one silent call fits into the 4 s as well
JITTER = 0.1  # of the period of calls to a service that can't be reached
# A service that is full bears no such rate. Being heard at all goes first:
# the calls of all schedulers are spread over this time for each of them.
OVERLOAD_SPACING_S = 0.25
ASK_MARGIN_MS = 500.0  # kept off the settings' `askEvery`


class CallFailure(Enum):
    """Why a call to the discovery service brought no list."""

    UNREACHABLE = "unreachable"  # refused, reset, never connected, or an answer that is no list
    SILENT = "silent"  # connected, and no answer in time
    TURNED_DOWN = "turned down"  # answered with another status than 200


@dataclass(slots=True)
class CallSchedule:
    """Pauses and timeouts of one scheduler's calls, in seconds on the caller's clock.

    An agent on the scheduler's own machine is called again soon: nobody else waits for it. Calls to a service
    that all schedulers share are spread by chance over a time that grows with their number: what one may do
    at once, forty that were restarted together may not.
    """

    shared: bool  # one service for all schedulers, not an agent of this one's own
    schedulers: int
    random: Random
    ask_every_ms: float = math.inf  # without a call for so long, all that was listed counts as told
    failures: int = 0  # calls in a row without an answer
    # When the list in hand is too old to send by: the service was seen to live, and has not told us its news.
    list_expires_at: float = math.inf
    _hear_by: float = math.inf  # when a change that was missed may begin to count as told
    _down_at_once: bool = False  # a call of this outage was turned down so
    _down_after_a_wait: bool = False
    _in_phase: bool = False  # the calls of this outage have drawn their place in the period

    # ---- How long a call may take ----

    @property
    def wait_ms(self) -> int:
        """How long the service may hold a call that goes on with a watch, in milliseconds."""
        if not self.shared:
            return AGENT_WAIT_MS
        unasked = self.ask_every_ms - LONGEST_TIMEOUT_S * 1000 - ASK_MARGIN_MS
        return int(min(SHARED_WAIT_MS, max(unasked, LEAST_WAIT_MS)))

    def timeout(self, now: float, continues: bool) -> float:
        """Seconds past its wait that a call is given; `continues` says that it goes on with a watch."""
        if not self.shared:
            return AGENT_TIMEOUT_S if self.failures < PATIENT_AFTER else PATIENT_TIMEOUT_S
        if continues:
            return CONTINUED_TIMEOUT_S
        if self._overloaded:
            return LONGEST_TIMEOUT_S
        if self.failures > QUICK_RETRIES:  # one call in four finds out whether the service is only slow
            return LEAST_TIMEOUT_S if self.failures % 4 else LONGEST_TIMEOUT_S
        # Half of the time that is left: if the call fails, the other half serves the next one.
        return min(max((self._hear_by - now) / 2, LEAST_TIMEOUT_S), LONGEST_TIMEOUT_S)

    # ---- When the next call is made ----

    def first(self, now: float) -> float:
        """Seconds to wait before the first call, where a list is in hand from before."""
        self._hear_by = now + TOLD_WITHIN_S - MARGIN_S
        return self.random.uniform(0.0, self._first_spread) if self.shared else 0.0

    def moved(self, now: float) -> float:
        """Seconds to wait before the first call to another address: all schedulers may move to it at once."""
        self._hear_by = now + TOLD_AFTER_MOVE_S - MARGIN_S
        spread = min(self.schedulers / BEGINS_PER_S, LONGEST_MOVE_S)
        return self.random.uniform(0.0, spread) if self.shared else 0.0

    def failed(self, now: float, failure: CallFailure, took: float, continued: bool = False) -> float:
        """Seconds to wait now that a call has failed.

        `took`: seconds that it lasted. `continued`: it went on with a watch, which is dead from here on; it
        may have been so since the call began.
        """
        self.failures += 1
        if not self.shared:
            return AGENT_PAUSE_S
        if continued:
            self._hear_by = now - took + TOLD_WITHIN_S - MARGIN_S
            return self._soon(self._reopen_spread)
        if failure is CallFailure.TURNED_DOWN:
            self._note_turned_down(now, took)
        if self._overloaded:
            spread = OVERLOAD_SPACING_S * self.schedulers
            return self.random.uniform(LONGEST_TIMEOUT_S, max(spread, 2 * LONGEST_TIMEOUT_S))
        if failure is CallFailure.SILENT and self.failures <= QUICK_RETRIES + 1:
            return self._soon(QUICK_RETRY_S)
        if took < AT_ONCE_S and not self._in_phase:
            self._in_phase = True
            return self._soon(self._spread)
        # At a steady rate: twice as many calls, spread by chance, would come no sooner at the worst.
        period = self._spread * self.random.uniform(1 - JITTER, 1 + JITTER)
        return max(period - took, AGENT_PAUSE_S)

    @property
    def _overloaded(self) -> bool:
        return self._down_at_once and self._down_after_a_wait

    def _note_turned_down(self, now: float, took: float) -> None:
        self._down_at_once |= took < AT_ONCE_S
        self._down_after_a_wait |= took >= AFTER_A_WAIT_S
        if self._overloaded:
            self.list_expires_at = min(self.list_expires_at, now - took + TOLD_WITHIN_S - MARGIN_S)

    def answered(self, now: float) -> None:
        """A call was answered: the next failure is a first one."""
        self.failures, self._in_phase = 0, False
        self._down_at_once = self._down_after_a_wait = False
        self._hear_by, self.list_expires_at = now + TOLD_WITHIN_S - MARGIN_S, math.inf

    def _soon(self, span: float) -> float:
        return max(self.random.uniform(0.0, span), AGENT_PAUSE_S)

    @property
    def _first_spread(self) -> float:
        return min(max(self.schedulers / FIRST_CALLS_PER_S, LEAST_SPREAD_S), LONGEST_SPREAD_S)

    @property
    def _reopen_spread(self) -> float:
        wanted = self.schedulers / BEGINS_PER_S - self.wait_ms / 1000
        return min(max(wanted, LEAST_REOPEN_S), LONGEST_REOPEN_S)

    @property
    def _spread(self) -> float:
        """With every scheduler calling once in so many seconds, the service bears the rate of all."""
        return min(max(self.schedulers / BEGINS_PER_S, LEAST_SPREAD_S), LONGEST_SPREAD_S)
