"""A random token of one process, for ids that must differ from those of other processes under its name.

The time would not do: two processes may start within a millisecond, and clocks step back. A count that a
store keeps would not either: there may be no store, or a copy of an earlier one.
"""

from __future__ import annotations

import secrets

TOKEN_BYTES = 6  # short, because Gearman libraries take handles of 64 bytes


def new_process_token() -> str:
    """Return a new token of 8 letters, digits, `-` and `_`."""
    return secrets.token_urlsafe(TOKEN_BYTES)
