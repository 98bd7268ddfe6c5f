"""The discovery service's JSON: the one place where its field names are mapped to those of the code.

The answer to a poll, the list in the configuration, and a list from a peer or from disk have the same form.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import Any, NamedTuple

from ..decision.facade import Readiness, WorkerInfo

log = logging.getLogger("oxbowyard.discovery")

READINESS_OF_STATE = {"ready": Readiness.READY, "draining": Readiness.DRAINING, "gone": Readiness.GONE}
ENTRY_PARSE_ERRORS = (LookupError, TypeError, ValueError, OverflowError)  # OverflowError: 1e999 is valid JSON
PORT_LIMIT = 65536
DEFAULT_WEIGHT = 1.0


class MalformedListError(ValueError):
    """The document is not an endpoint list; the message says why."""


class ListedEndpoint(NamedTuple):
    """One entry of an endpoint list. A named tuple for speed: a large fleet has a thousand every second."""

    address: str  # HOST:PORT; empty if the entry has no valid one
    info: WorkerInfo


@dataclass(slots=True, frozen=True)
class WatchEvent:
    """The content of one answer of the discovery service."""

    revision: int
    is_full: bool  # the complete list: an endpoint that is not in it is gone
    endpoints: tuple[ListedEndpoint, ...]


def parse_endpoint_list(document: object) -> WatchEvent:
    """Parse a decoded document. A malformed entry is skipped and logged.

    Raises MalformedListError if the document itself is not an endpoint list.
    """
    if not isinstance(document, dict) or not isinstance(document.get("targets"), list):
        raise MalformedListError("not a JSON object with a list in 'targets'")
    revision = document.get("rev")
    if not isinstance(revision, int) or isinstance(revision, bool):
        raise MalformedListError(f"'rev': expected an integer, got {type(revision).__name__}")
    endpoints = []
    for row in document["targets"]:
        try:
            endpoints.append(_parse_entry(row))
        except ENTRY_PARSE_ERRORS as error:
            log.warning("malformed endpoint list entry skipped: %r", error)
    return WatchEvent(revision, bool(document.get("all")), tuple(endpoints))


def _parse_entry(row: dict[str, Any]) -> ListedEndpoint:
    uid = row["uid"]
    readiness = READINESS_OF_STATE[row["state"]]
    if not (isinstance(uid, str) and uid):
        raise ValueError(f"'uid': expected a non-empty string, got {type(uid).__name__}")
    try:
        return ListedEndpoint(_parse_address(row, readiness), _parse_info(row, uid, readiness))
    except ENTRY_PARSE_ERRORS as error:
        if readiness is Readiness.READY:
            raise
        # A state that forbids sending is binding even if the rest of the entry is malformed.
        log.warning(
            "endpoint list entry malformed, only its state is applied: uid=%s state=%s error=%r",
            uid,
            readiness.value,
            error,
        )
        return ListedEndpoint("", WorkerInfo(uid, readiness))


def _parse_address(row: dict[str, Any], readiness: Readiness) -> str:
    address = row["endpoint"]
    if not isinstance(address, str):
        raise ValueError(f"'endpoint': expected a string, got {type(address).__name__}")
    if not address and readiness is Readiness.GONE:
        return address
    host, _, port = address.rpartition(":")
    if not (host and 0 < int(port) < PORT_LIMIT):
        raise ValueError(f"'endpoint': expected HOST:PORT, got {address!r}")
    return address


def _parse_info(row: dict[str, Any], uid: str, readiness: Readiness) -> WorkerInfo:
    return WorkerInfo(
        uid,
        readiness,
        zone=str(row.get("az") or ""),
        kind=str(row.get("model") or ""),
        cell=int(row.get("pod_group") or 0),
        weight=float(row.get("capacity_hint") or DEFAULT_WEIGHT),
        started_at_ms=float(row.get("boot_ms") or 0.0),
    )


def to_target(uid: str, address: str, readiness: Readiness, info: WorkerInfo) -> dict[str, Any]:
    """Return an entry in the form in which the discovery service sends it."""
    return {
        "uid": uid,
        "endpoint": address,
        "state": readiness.value,
        "az": info.zone,
        "model": info.kind,
        "pod_group": info.cell,
        "capacity_hint": info.weight,
        "boot_ms": info.started_at_ms,
    }
