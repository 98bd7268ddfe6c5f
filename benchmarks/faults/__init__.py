"""Faults between members, for tests and benchmarks: a network in virtual time."""
