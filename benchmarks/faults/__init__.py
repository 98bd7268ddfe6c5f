"""Fault injection for tests and benchmarks: networks with loss, delay and partitions, and a list service."""
