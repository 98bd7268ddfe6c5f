"""The clock of a scheduler: Unix time in milliseconds that never goes backwards."""

from __future__ import annotations

import time
from collections.abc import Callable


def make_unix_ms_clock() -> Callable[[], float]:
    """Return a clock that reads Unix time once and then follows the monotonic clock.

    Later steps of the system time have no effect on it.
    """
    offset_s = time.time() - time.monotonic()
    return lambda: (time.monotonic() + offset_s) * 1000
