"""The file descriptor budget: how many descriptors each component of the process may use.

Idle clients may use up the whole budget for client connections. The descriptors for the discovery watch, the
admin API and connections to workers are reserved, so that the next request is still served.
"""

from __future__ import annotations

from dataclasses import dataclass

STANDARD_STREAMS = 3
EVENT_LOOP = 4  # its selector, the socket pair that wakes it, and one spare
LISTENERS = 3  # HTTP clients, admin API, Gearman
DISCOVERY = 4  # two connections to the current address and two to the new one while it changes
FILES = 4  # not all open at once: configuration, workers in maintenance, pid files of a handover
ACCEPTED_AT_ONCE = 2  # connections over the limit, between being accepted and being closed
RESERVED = STANDARD_STREAMS + EVENT_LOOP + LISTENERS + DISCOVERY + FILES + ACCEPTED_AT_ONCE

# Concurrent connections to the admin API.
ADMIN_SHARE = 1 / 16
MIN_ADMIN = 4
MAX_ADMIN = 32

# Connections to workers whose result is known, but whose response body has not been read to its end.
TAILS_SHARE = 1 / 32
MIN_TAILS = 4
MAX_TAILS = 64

# The rest is divided between clients and requests. About a third of all descriptors are for clients with an
# open request, and as many for the connections of their attempts; the others are for idle clients.
REQUESTS_SHARE = 0.41
MIN_REST = 5


@dataclass(slots=True, frozen=True)
class DescriptorBudget:
    """The number of descriptors of each kind that one process may have open at once."""

    requests: int  # open requests, each with one connection to a worker
    clients: int
    gearman: int
    admin: int
    tails: int

    @classmethod
    def allocate(
        cls, limit: int, max_requests: int, gearman: int = 0, admin: bool = True
    ) -> DescriptorBudget:
        """Divide the descriptors of one process between its components.

        `limit` is the number that the process may have open, `max_requests` limits the requests in any case,
        `gearman` is the number of Gearman connections, and `admin` says whether the admin API is enabled.
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
        """The number of descriptors in use if every component uses its whole share."""
        return RESERVED + self.requests + self.clients + self.gearman + self.admin + self.tails


def _share(limit: int, share: float, minimum: int, maximum: int) -> int:
    return min(max(int(limit * share), minimum), maximum)
