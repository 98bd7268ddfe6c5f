"""The request handlers of the admin API."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

import orjson

from .admin_server import AdminResponse
from .maintenance import Maintenance

READY_PATH = "/control/ready"
COUNTERS_PATH = "/control/counters"
MEMBERS_PATH = "/control/members"
MEMORY_PATH = "/control/memory"
WORKERS_PREFIX = "/control/scan-workers/"  # followed by UID/offline or UID/online
OFFLINE = "offline"
ONLINE = "online"
MAX_UID_LENGTH = 256  # characters

NOT_FOUND = AdminResponse(404, b"no such call\n")


@dataclass(slots=True, frozen=True)
class AdminSources:
    """The objects that the admin API reads and changes."""

    is_ready: Callable[[], bool]
    counters: Callable[[], Mapping[str, object]]
    maintenance: Maintenance | None = None
    members: Callable[[], Mapping[str, object]] | None = None  # None if membership is disabled
    memory: Callable[[], Mapping[str, object]] | None = None


class AdminHandlers:
    """Answers admin requests: 2xx on success, 4xx on rejection, 503 while the process is not ready."""

    def __init__(self, sources: AdminSources) -> None:
        self._sources = sources

    def __call__(self, method: str, path: str) -> AdminResponse:
        """Answer one request: 404 for an unknown path, 405 for a wrong method."""
        if path == READY_PATH:
            return _require_get(method) or self._ready()
        if path == COUNTERS_PATH:
            return _require_get(method) or _json_response(self._sources.counters())
        if path == MEMORY_PATH and self._sources.memory is not None:
            return _require_get(method) or _json_response(self._sources.memory())
        if path == MEMBERS_PATH and self._sources.members is not None:
            return _require_get(method) or _json_response(self._sources.members())
        if path.startswith(WORKERS_PREFIX):
            return self._set_maintenance(method, path.removeprefix(WORKERS_PREFIX))
        return NOT_FOUND

    def _ready(self) -> AdminResponse:
        if self._sources.is_ready():
            return AdminResponse(200, b"ready\n")
        return AdminResponse(503, b"not ready\n")

    def _set_maintenance(self, method: str, rest: str) -> AdminResponse:
        """Cordon or uncordon one endpoint. `rest` is the rest of the path, UID/offline or UID/online."""
        uid, _, wanted = rest.rpartition("/")
        if wanted not in (OFFLINE, ONLINE) or not _is_uid(uid):
            return NOT_FOUND
        if method != "PUT":
            return AdminResponse(405, b"ask with PUT\n")
        maintenance = self._sources.maintenance
        if maintenance is None:
            return AdminResponse(404, b"no scan workers here\n")
        is_known = maintenance.cordon(uid) if wanted == OFFLINE else maintenance.uncordon(uid)
        if not is_known:
            return AdminResponse(404, f"scan worker {uid} is not known\n".encode())
        return AdminResponse(200, f"scan worker {uid} {wanted}\n".encode())


def _is_uid(text: str) -> bool:
    return bool(text) and "/" not in text and len(text) <= MAX_UID_LENGTH


def _json_response(document: Mapping[str, object]) -> AdminResponse:
    return AdminResponse(200, orjson.dumps(document), "application/json")


def _require_get(method: str) -> AdminResponse | None:
    """Return None for GET and HEAD, else the 405 response."""
    return None if method in ("GET", "HEAD") else AdminResponse(405, b"ask with GET\n")
