"""Deferred jobs, which wait for other jobs, a point in time, an idle fleet or capacity."""
