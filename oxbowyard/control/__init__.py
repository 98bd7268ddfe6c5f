"""The admin API, on a separate address: readiness, counters, members, and maintenance of endpoints."""
