"""The one clock of a scheduler: Unix time in milliseconds that only advances."""

from __future__ import annotations

import time
from collections.abc import Callable


def make_unix_ms_clock() -> Callable[[], float]:
    """A clock that reads Unix time once and follows the monotonic clock, so that a step of the system's time
    has no effect."""
    offset_s = time.time() - time.monotonic()
    return lambda: (time.monotonic() + offset_s) * 1000
