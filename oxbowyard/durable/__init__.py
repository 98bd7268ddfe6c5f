"""Durable jobs: the waiting room's ledger on a store, and the way back after a crash."""
