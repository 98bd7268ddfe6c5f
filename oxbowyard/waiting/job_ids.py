"""Ids of jobs: those that this run of the program gives, and the forms that clients must not choose."""

from __future__ import annotations


class JobIds:
    """Gives ids that no other job has, nor one of an earlier run."""

    def __init__(self, name: str, started_unix_ms: int, run_id: str) -> None:
        """`run_id` tells this run from others that one store knows; it is empty without a store."""
        self.run_id = run_id
        self._prefix = f"{name}.{started_unix_ms:x}."
        self._last = 0
        self._reserved_prefixes = [self._prefix]

    def new(self) -> str:
        """A new id."""
        self._last += 1
        return f"{self._prefix}{self._last:x}"

    def is_of_this_run(self, id_: str) -> bool:
        """Whether this run may have given the id: then no store knows it from before."""
        return id_.startswith(self._prefix)

    def reserve(self, prefix: str) -> None:
        """Clients must not choose ids that begin so."""
        self._reserved_prefixes.append(prefix)

    def is_reserved(self, id_: str) -> bool:
        """Whether a client must not choose the id."""
        return id_.startswith(tuple(self._reserved_prefixes))
