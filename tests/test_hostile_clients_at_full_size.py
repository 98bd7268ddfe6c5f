"""The forms of misbehaving peers that passed a full-sized process's memory, or stopped its other clients."""

from __future__ import annotations

import pytest
from test_hostile_clients import CONNECTIONS, DURATION_S, LARGE_FORMS, LARGE_MB, _check

from benchmarks.hostile.measure import measure


@pytest.mark.parametrize("form", LARGE_FORMS)
def test_misbehaving_peers_cost_neither_memory_nor_others_answers(form: str) -> None:
    # Guards against a process that passes its memory limit, or that leaves others unanswered (issue 56).
    _check(measure(form, LARGE_MB, CONNECTIONS, DURATION_S))
