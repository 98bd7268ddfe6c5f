"""Deferred jobs: they wait for other jobs, a time, an idle fleet or capacity."""
