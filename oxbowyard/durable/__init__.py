"""Durable jobs: the journal that records waiting jobs in a store, and their recovery after a restart."""
