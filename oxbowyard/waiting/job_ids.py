"""Generates job ids, and knows the prefixes that ids chosen by clients must not have."""

from __future__ import annotations

from ..core.process_token import new_process_token


class JobIds:
    """Generates ids that are unique, also among the jobs of earlier runs of the program."""

    def __init__(self, name: str, started_unix_ms: int, run_id: str) -> None:
        """`run_id` distinguishes the runs of the program on one store; it is empty without a store."""
        self.run_id = run_id
        self._prefix = f"{name}.{started_unix_ms:x}.{new_process_token()}."
        self._last = 0
        self._reserved_prefixes = [self._prefix]

    def new(self) -> str:
        """Return a new id."""
        self._last += 1
        return f"{self._prefix}{self._last:x}"

    def is_of_this_run(self, id_: str) -> bool:
        """Return whether this run generated the id: no store has a job of an earlier run under it."""
        return id_.startswith(self._prefix)

    def reserve(self, prefix: str) -> None:
        """Reserve a prefix: clients must not choose ids that begin with it."""
        self._reserved_prefixes.append(prefix)

    def is_reserved(self, id_: str) -> bool:
        """Return whether the id is reserved, so that a client must not choose it."""
        return id_.startswith(tuple(self._reserved_prefixes))
