"""Hundreds of misbehaving peers: the process stays within its memory, and ordinary clients are answered.

Real processes on loopback: a daemon of the given memory, a toy worker, one process with the misbehaving peers
(`benchmarks.hostile.forms`), and four ordinary clients in this one.
"""

from __future__ import annotations

import pytest

from benchmarks.hostile.forms import FORMS
from benchmarks.hostile.measure import Measurement, measure

CONNECTIONS = 900  # as many as met the node in the incident
DURATION_S = 3.0
MEMORY_SHARE = 0.8  # of the limit, which the peak must not pass
LARGE_MB = 192
SMALL_MB = 96  # half of the memory, with as many descriptors
LARGE_FORMS = ("one-byte chunks", "requests of many fields behind a job", "whole bodies", "unread echoes")


def _check(result: Measurement) -> None:
    assert not result.has_exited, result.log[-2000:]
    assert result.peak_mb < MEMORY_SHARE * result.memory_mb, str(result)
    assert result.waits_s and not result.unanswered, str(result)


@pytest.mark.parametrize("form", FORMS)
def test_misbehaving_peers_cost_neither_memory_nor_others_answers_with_half_the_memory(form: str) -> None:
    # Guards against a process that passes its memory limit, or that leaves others unanswered (issue 56).
    _check(measure(form, SMALL_MB, CONNECTIONS, DURATION_S))
