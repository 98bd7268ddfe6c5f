"""Durable jobs: the journal of waiting jobs on a store, and the recovery after a crash."""
