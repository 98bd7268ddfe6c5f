"""A seeded soak test: a real daemon between stand-in clients and workers, under faults drawn from a seed."""
