"""Measurements: each module is a command, `python -m benchmarks.NAME`. They stay out of CI."""
