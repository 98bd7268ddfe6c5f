"""Quotas of tenants: one token bucket per tenant, scaled to the traffic that this dispatcher gets."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from .settings import Settings

QUOTA_MARGIN_WINDOW_S = 20.0  # the refill rate has a margin of one deviation over this time, for chance
BURST_S = 3.0  # capacity of a bucket in seconds of its quota, because arrivals cluster
BURST_REQUESTS = 3.0  # requests added to this capacity
RATE_TIME_CONSTANT_MS = 5000.0  # the rate of a tenant is averaged over this time
MIN_TENANTS = 3  # with fewer tenants, their median is not meaningful
MAX_TRAFFIC_RATIO = 4.0  # upper bound on the assumed imbalance of traffic between dispatchers


@dataclass(slots=True)
class TokenBucket:
    """The quota of one tenant at one dispatcher."""

    quota_per_s: float
    refill_per_s: float  # tokens per second
    capacity: float  # tokens
    rate_time_constant_ms: float
    tokens: float
    rate_per_s: float = 0.0  # requests received, decaying mean
    refilled_at_ms: float = 0.0

    def try_acquire(self, now: float, traffic_ratio: float) -> bool:
        """Count one request and take a token for it. Return False if the quota is used up.

        The refill rate is multiplied by `traffic_ratio`, the traffic of this dispatcher over the mean.
        """
        elapsed = now - self.refilled_at_ms
        self.refilled_at_ms = now
        self.rate_per_s += (1000 / self.rate_time_constant_ms) - self.rate_per_s * -math.expm1(
            -elapsed / self.rate_time_constant_ms
        )
        self.tokens = min(self.tokens + elapsed * self.refill_per_s * traffic_ratio / 1000, self.capacity)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def create_token_buckets(settings: Settings) -> dict[str, TokenBucket]:
    """Return a bucket per tenant with a quota, by name. Each dispatcher gets an equal part of a quota."""
    quotas_per_s = {
        tenant.name: tenant.quota_per_s / settings.scheduler_count
        for tenant in settings.tenants
        if tenant.quota_per_s
    }
    return {
        name: TokenBucket(
            quota_per_s=quota_per_s,
            refill_per_s=quota_per_s + math.sqrt(quota_per_s / QUOTA_MARGIN_WINDOW_S),
            capacity=BURST_S * quota_per_s + BURST_REQUESTS,
            rate_time_constant_ms=RATE_TIME_CONSTANT_MS,
            tokens=quota_per_s,
        )
        for name, quota_per_s in quotas_per_s.items()
    }


def estimate_traffic_ratio(buckets: Iterable[TokenBucket]) -> float:
    """Return the traffic of this dispatcher over that of the mean dispatcher, at least 1.

    Dispatchers do not get equal traffic. The median tenant is assumed to send as much as its quota allows.
    """
    ratios = sorted(bucket.rate_per_s / bucket.quota_per_s for bucket in buckets)
    return max(ratios[len(ratios) // 2], 1.0)
