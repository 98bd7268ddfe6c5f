"""Which workers went silent with a job. No I/O, no clock; times in ms.

All leases last equally long, so those heard of last stand last: a walk from the front finds the lapsed ones.
"""

from __future__ import annotations


class Leases:
    """The leases that are out."""

    def __init__(self, lasting: float) -> None:
        self.lasting = lasting
        self._until: dict[str, float] = {}  # by job, the earliest first

    def begin(self, now: float, job: str) -> None:
        """A worker has the job from now on, or another one has."""
        self._until.pop(job, None)
        self._until[job] = now + self.lasting

    def heard(self, now: float, job: str) -> None:
        """Its worker gave a sign of life: a start, progress, data. A lease that is over stays so."""
        if job in self._until:
            self.begin(now, job)

    def end(self, job: str) -> None:
        """The job has ended, or is with no worker any more."""
        self._until.pop(job, None)

    def lapsed(self, now: float) -> list[str]:
        """Jobs of whose workers nothing was heard for so long; each is told once."""
        found = []
        for job, until in self._until.items():
            if until > now:
                break
            found.append(job)
        for job in found:
            del self._until[job]
        return found

    def next_due(self) -> float | None:
        """When the next one lapses, if nothing is heard."""
        return next(iter(self._until.values()), None)
