"""Quotas of tenants: a token bucket each, and how this dispatcher's traffic compares with the others'."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from .settings import Settings

QUOTA_MARGIN_WINDOW_S = (
    20.0  # a quota grows by the root of the requests of this time: rare requests exceed it by chance
)
BURST_S = 3.0  # a tenant may save up its quota for this long: arrivals cluster
BURST_REQUESTS = 3.0  # and this many jobs besides
RATE_TIME_CONSTANT_MS = 5000.0  # a tenant's rate is averaged over this time
MIN_TENANTS = 3  # with fewer tenants their median tells nothing
MAX_TRAFFIC_RATIO = 4.0  # bound on how uneven the traffic of dispatchers is believed to be


@dataclass(slots=True)
class TokenBucket:
    """The quota of one tenant at one dispatcher. Rates are requests a second."""

    quota: float
    refill: float  # tokens a second
    capacity: float  # tokens
    rate_time_constant_ms: float
    tokens: float
    rate: float = 0.0
    refilled_at_ms: float = 0.0

    def try_acquire(self, now: float, traffic_ratio: float) -> bool:
        """Count one request and take a token for it; False if the quota is used up.

        `traffic_ratio` multiplies the refill: how much more traffic than the mean this dispatcher gets.
        """
        elapsed = now - self.refilled_at_ms
        self.refilled_at_ms = now
        self.rate += (1000 / self.rate_time_constant_ms) - self.rate * -math.expm1(
            -elapsed / self.rate_time_constant_ms
        )
        self.tokens = min(self.tokens + elapsed * self.refill * traffic_ratio / 1000, self.capacity)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def create_token_buckets(settings: Settings) -> dict[str, TokenBucket]:
    """A bucket for each tenant with a quota, by name: the dispatcher's equal part of the quota."""
    quotas = {
        tenant.name: tenant.quota_per_s / settings.scheduler_count
        for tenant in settings.tenants
        if tenant.quota_per_s
    }
    return {
        name: TokenBucket(
            quota=quota,
            refill=quota + math.sqrt(quota / QUOTA_MARGIN_WINDOW_S),
            capacity=BURST_S * quota + BURST_REQUESTS,
            rate_time_constant_ms=RATE_TIME_CONSTANT_MS,
            tokens=quota,
        )
        for name, quota in quotas.items()
    }


def estimate_traffic_ratio(buckets: Iterable[TokenBucket]) -> float:
    """This dispatcher's traffic over the mean dispatcher's, at least 1.

    Dispatchers do not get equal traffic. The median tenant is taken to send what its quota allows, at this
    dispatcher as elsewhere.
    """
    ratios = sorted(bucket.rate / bucket.quota for bucket in buckets)
    return max(ratios[len(ratios) // 2], 1.0)
