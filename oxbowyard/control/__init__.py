"""The admin API, on an address of its own: readiness, counters, members, and endpoints in maintenance."""
