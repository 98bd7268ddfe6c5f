"""Signals that arrive while the program shuts down."""

from __future__ import annotations

import json
import signal
import time
from pathlib import Path

import pytest
from exchange_player import ROOT, SchedulerProcess

EXIT_TIMEOUT_S = 10.0
SIGNAL_INTERVAL_S = 0.0005


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
def test_signals_sent_until_the_exit_leave_the_exit_code_0(number: signal.Signals, tmp_path: Path) -> None:
    # Guards against a late signal that kills the process, because its exit code then looks like a crash.
    document = json.loads((ROOT / "examples/config.json").read_text())
    program = SchedulerProcess(document | {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1"}, tmp_path, [])
    try:
        program.wait_for("http listens")
        program.process.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + EXIT_TIMEOUT_S
        while program.process.poll() is None and time.monotonic() < deadline:
            program.process.send_signal(number)
            time.sleep(SIGNAL_INTERVAL_S)
        assert program.process.poll() == 0
    finally:
        program.end()
