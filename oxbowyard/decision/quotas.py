"""Quotas of tenants: a token bucket each, and how this dispatcher's traffic compares with the others'."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from .settings import Settings

SPARE_S = 20.0  # a quota grows by the root of the requests of this time: rare requests exceed it by chance
BURST_S = 3.0  # a tenant may save up its quota for this long: arrivals cluster
BURST_JOBS = 3.0  # and this many jobs besides
RATE_SPAN_MS = 5000.0  # a tenant's rate is averaged over this time
MIN_TENANTS = 3  # with fewer tenants their median tells nothing
MAX_TRAFFIC_SHARE = 4.0  # bound on how uneven the traffic of dispatchers is believed to be


@dataclass(slots=True)
class TokenBucket:
    """The quota of one tenant at one dispatcher. Rates are requests a second."""

    quota: float
    refill: float  # tokens a second
    capacity: float  # tokens
    rate_span_ms: float
    tokens: float
    rate: float = 0.0
    refilled_at_ms: float = 0.0

    def is_exceeded_by_next(self, now: float, traffic_share: float) -> bool:
        """Count one request and return whether it exceeds the quota.

        `traffic_share` multiplies the refill: how much more traffic than the mean this dispatcher gets.
        """
        elapsed = now - self.refilled_at_ms
        self.refilled_at_ms = now
        self.rate += (1000 / self.rate_span_ms) - self.rate * -math.expm1(-elapsed / self.rate_span_ms)
        self.tokens = min(self.tokens + elapsed * self.refill * traffic_share / 1000, self.capacity)
        exceeded = self.tokens < 1
        self.tokens -= 0 if exceeded else 1
        return exceeded


def token_buckets(settings: Settings) -> dict[str, TokenBucket]:
    """A bucket for each tenant with a quota, by name: the dispatcher's equal part of the quota."""
    quotas = {
        tenant.name: tenant.quota_per_s / settings.scheduler_count
        for tenant in settings.tenants
        if tenant.quota_per_s
    }
    return {
        name: TokenBucket(
            quota=quota,
            refill=quota + math.sqrt(quota / SPARE_S),
            capacity=BURST_S * quota + BURST_JOBS,
            rate_span_ms=RATE_SPAN_MS,
            tokens=quota,
        )
        for name, quota in quotas.items()
    }


def traffic_share(buckets: Iterable[TokenBucket]) -> float:
    """This dispatcher's traffic over the mean dispatcher's, at least 1.

    Dispatchers do not get equal traffic. The median tenant is taken to send what its quota allows, at this
    dispatcher as elsewhere.
    """
    ratios = sorted(bucket.rate / bucket.quota for bucket in buckets)
    return max(ratios[len(ratios) // 2], 1.0)
