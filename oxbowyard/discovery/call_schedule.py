"""When discovery is called, and called again after a failure. Without I/O or clock."""

from __future__ import annotations

import math
from dataclasses import dataclass
from random import Random

AGENT_PAUSE = 0.1  # seconds; an agent on this machine answers at once and at no cost; a watch lapses in 0.2
# A discovery that serves all schedulers has been seen to take 0.2 s over the begin of a watch, to turn calls
# down once 2 s of them wait, and to work on those too that it has turned down: a few calls a second more than
# it can serve, and it serves nobody. All schedulers together leave it a quarter of its time.
SPACING = 0.25  # seconds that the calls of all schedulers lie apart on average
# A watch that has fallen silent shows only by an answer that is overdue. What it misses counts as told 6 s
# after it fell silent, or 2 s after its wait: noticing it, calling again and hearing have to fit in.
WAIT_MS = 2000.0  # to go on with a watch costs neither an agent nor a service for all anything
ANSWER_WITHIN = 0.5  # seconds past its wait that an agent's answer is given
PATIENT_AFTER, PATIENT_WITHIN = 30, 1.5  # failed calls in a row; then the agent may be there, but slow
GOING_WITHIN = 1.0  # the same for a watch that goes on, where one service serves all
COMMON_WITHIN = 2.5  # and for a call that others may wait before: given up sooner, it was served for nothing
LOST_MARGIN_MS, LEAST_WAIT_MS = 500.0, 1000.0
DOUBLINGS = 2  # of the span, after as many failures: by then the calls take up a fifth of its time
# However many schedulers there are, a watch that dies is begun anew within its 6 s: a service that bears no
# such crowd turns it down, and then all make room for each other.
SOON, SOON_GROWS = 1.5, 4.0
# Without a watch, what is as old as `ask_every` counts as told, and four times as old after a failed call.
FAILED_LASTS = 4.0


@dataclass(slots=True)
class CallSchedule:
    """Pauses before calls.

    An agent on the scheduler's own machine is called again soon: nobody else waits for it. Calls to a
    discovery that serves all schedulers are spread by chance over a time that grows with their number and
    with each failure: what one scheduler may do at once, forty that were restarted together may not.
    """

    common: bool  # one service for all schedulers, not an agent
    siblings: int
    random: Random
    ask_every: float = math.inf  # milliseconds without a call after which all counts as told
    failures: int = 0
    _soon: float = math.inf  # seconds over which the next call is spread at most, after a watch that died

    def within(self, going: bool) -> float:
        """Seconds past its wait that a call is given; `going` says that it goes on with a watch."""
        if self.common:
            return GOING_WITHIN if going else COMMON_WITHIN
        return ANSWER_WITHIN if self.failures < PATIENT_AFTER else PATIENT_WITHIN

    @property
    def wait_ms(self) -> int:
        """How long a watch waits: a lost one is given up before its scheduler counts as told unasked."""
        if not self.common:
            return int(WAIT_MS)
        unasked = self.ask_every - COMMON_WITHIN * 1000 - LOST_MARGIN_MS
        return int(min(WAIT_MS, max(unasked, LEAST_WAIT_MS)))

    def first(self) -> float:
        """Seconds to wait before the first call, where a list is in hand from before."""
        return self.random.uniform(0.0, min(self._span, self._unasked(1.0))) if self.common else 0.0

    def failed(self, going: bool = False, turned_down: bool = False) -> float:
        """Seconds to wait now that a call has failed. `going`: a watch died with it, and a drain may have
        been missed; `turned_down`: the service lives, and has more calls than it bears."""
        if not self.common:
            self.failures += 1
            return AGENT_PAUSE
        self._soon = SOON if going else math.inf if turned_down else self._soon
        span = min(self._span, self._soon)
        if not self.failures and not turned_down:  # else it is short: to be heard at all goes first
            span = min(span, self._unasked(FAILED_LASTS))
        self.failures += not going
        self._soon *= SOON_GROWS
        return max(self.random.uniform(0.0, span), AGENT_PAUSE)

    def answered(self) -> None:
        """A call was answered: the next failure is a first one."""
        self.failures, self._soon = 0, math.inf

    def _unasked(self, times: float) -> float:
        """Seconds within which the next call has to be out, before what changed meanwhile counts as told."""
        return max((times * self.ask_every - LOST_MARGIN_MS) / 1000, AGENT_PAUSE)

    @property
    def _span(self) -> float:
        """With every sibling calling once in it, the calls lie as far apart on average as they should."""
        return SPACING * self.siblings * 2.0 ** min(self.failures, DOUBLINGS)
