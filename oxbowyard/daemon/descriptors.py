"""How the file descriptors that the platform allows are shared out. Every component keeps to its share.

Clients that ask for nothing may take all of theirs. What the watch of discovery, the admin API and attempts
at workers need is set aside, so that a request which comes next is still served.
"""

from __future__ import annotations

from dataclasses import dataclass

STANDARD_STREAMS = 3
EVENT_LOOP = 4  # its selector, the pair that wakes it, one to spare
LISTENERS = 3  # clients', the admin API's, Gearman's
DISCOVERY = 4  # two connections to the address in force, two to the one that it moves to
FILES = 4  # one after the other: the configuration, workers in maintenance, the handover's marks
ACCEPTED_AT_ONCE = 2  # accepted, and refused a moment later
RESERVED = STANDARD_STREAMS + EVENT_LOOP + LISTENERS + DISCOVERY + FILES + ACCEPTED_AT_ONCE

# Callers of the admin API at once.
ADMIN_SHARE = 1 / 16
MIN_ADMIN = 4
MAX_ADMIN = 32

# Connections to workers whose answer is known and whose last bytes are still awaited.
TAILS_SHARE = 1 / 32
MIN_TAILS = 4
MAX_TAILS = 64

# The rest goes to clients and to requests. About a third of all are held by clients for requests, and each of
# these takes one more for its attempt; the others are for clients that ask for nothing.
REQUESTS_SHARE = 0.41
MIN_REST = 5


@dataclass(slots=True, frozen=True)
class DescriptorBudget:
    """How many of each kind one process may hold at once."""

    requests: int  # and as many connections to workers
    clients: int
    gearman: int
    admin: int
    tails: int

    @classmethod
    def allocate(
        cls, limit: int, max_requests: int, gearman: int = 0, admin: bool = True
    ) -> DescriptorBudget:
        """Share out the descriptors of one process.

        `limit` is how many it may have, `max_requests` bounds the requests whatever the descriptors allow,
        `gearman` is the number of Gearman's connections, and `admin` says whether the admin API is on.
        """
        callers = _share(limit, ADMIN_SHARE, MIN_ADMIN, MAX_ADMIN) if admin else 0
        tails = _share(limit, TAILS_SHARE, MIN_TAILS, MAX_TAILS)
        rest = max(limit - RESERVED - callers - tails - gearman, MIN_REST)
        requests = int(rest * REQUESTS_SHARE)
        return cls(
            requests=max(min(requests, max_requests), 1),
            clients=rest - requests,
            gearman=gearman,
            admin=callers,
            tails=tails,
        )

    @property
    def total(self) -> int:
        """All of them in use at once."""
        return RESERVED + self.requests + self.clients + self.gearman + self.admin + self.tails


def _share(limit: int, share: float, minimum: int, maximum: int) -> int:
    return min(max(int(limit * share), minimum), maximum)
