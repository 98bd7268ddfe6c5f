"""Benchmarks and fault-injection harnesses. Commands are run as `python -m benchmarks.NAME`, not in CI."""
