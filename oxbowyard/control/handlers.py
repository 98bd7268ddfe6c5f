"""What the door's calls mean: the paths, and what each asks of the program."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

import orjson

from .admin_server import Reply
from .maintenance import Maintenance

READY = "/control/ready"
COUNTERS = "/control/counters"
WORKERS = "/control/scan-workers/"  # then ID/offline or ID/online
MEMBERS = "/control/members"
MOST_UID = 256  # characters of a backend's uid in a path; a longer one is no uid of the list


@dataclass(slots=True, frozen=True)
class Sources:
    """Where the answers come from."""

    is_ready: Callable[[], bool]
    figures: Callable[[], Mapping[str, object]]
    maintenance: Maintenance | None = None
    members: Callable[[], Mapping[str, object]] | None = None  # where schedulers know each other


class AdminHandlers:
    """Answers the operators' calls. A yes is 2xx; a no is 4xx, or 503 for a process that is not ready."""

    def __init__(self, sources: Sources) -> None:
        self._sources = sources

    def __call__(self, method: str, path: str) -> Reply:
        """Answer one call; an unknown path gets 404, a wrong method 405."""
        if path == READY:
            return _get(method) or self._ready()
        if path == COUNTERS:
            return _get(method) or Reply(200, orjson.dumps(self._sources.figures()), "application/json")
        if path == MEMBERS and self._sources.members is not None:
            return _get(method) or Reply(200, orjson.dumps(self._sources.members()), "application/json")
        if path.startswith(WORKERS):
            return self._worker(method, path.removeprefix(WORKERS))
        return Reply(404, b"no such call\n")

    def _ready(self) -> Reply:
        return Reply(200, b"ready\n") if self._sources.is_ready() else Reply(503, b"not ready\n")

    def _worker(self, method: str, rest: str) -> Reply:
        uid, _, what = rest.rpartition("/")
        if what not in ("offline", "online") or not uid or "/" in uid or len(uid) > MOST_UID:
            return Reply(404, b"no such call\n")
        if method != "PUT":
            return Reply(405, b"ask with PUT\n")
        maintenance = self._sources.maintenance
        if maintenance is None:
            return Reply(404, b"no scan workers here\n")
        done = maintenance.out(uid) if what == "offline" else maintenance.back(uid)
        if not done:
            return Reply(404, f"scan worker {uid} is not known\n".encode())
        return Reply(200, f"scan worker {uid} {what}\n".encode())


def _get(method: str) -> Reply | None:
    return None if method in ("GET", "HEAD") else Reply(405, b"ask with GET\n")
