"""The encoding of requests and dependencies in the store. Its fields are those of stored data."""

from __future__ import annotations

import json
from collections.abc import Sequence

from ..core.request import Request
from ..store.record import StoredJob
from ..waiting.job import Dependency, DependencyCondition

RECORDS_GRANTS_FIELD = "grants"  # missing in jobs that an earlier release accepted


def encode_request(request: Request, records_grants: bool | None = None) -> bytes:
    """Encode the fields of a request that are not stored in columns of their own.

    `records_grants` says whether each send of the job is recorded first; None: as an earlier release had it.
    """
    fields: dict[str, object] = {
        "target": request.target,
        "key": request.key,
        "slots": request.slots,
        "extras": dict(request.extras),
    }
    if records_grants is not None:
        fields[RECORDS_GRANTS_FIELD] = records_grants
    return json.dumps(fields).encode()


def decode_request(stored: StoredJob, deadline_s: float) -> Request:
    """Decode the request of a stored job; `deadline_s` is the time limit for running it."""
    accepted = stored.accepted
    fields = json.loads(accepted.request)
    return Request(
        id=accepted.id,
        job_class=accepted.job_class,
        timeout_s=deadline_s,
        target=fields["target"],
        payload=accepted.payload,
        key=fields["key"],
        tenant=accepted.tenant or None,
        slots=fields["slots"],
        extras=fields["extras"],
        idempotency_key=accepted.idempotency_key,
    )


def decode_records_grants(stored: StoredJob) -> bool | None:
    """Return whether each send of a stored job is recorded first; None if an earlier release accepted it."""
    records_grants: bool | None = json.loads(stored.accepted.request).get(RECORDS_GRANTS_FIELD)
    return records_grants


def with_records_grants(stored: StoredJob, records_grants: bool) -> bytes:
    """Return the encoded request of a stored job with another value for whether its sends are recorded."""
    fields = json.loads(stored.accepted.request) | {RECORDS_GRANTS_FIELD: records_grants}
    return json.dumps(fields).encode()


def encode_dependencies(dependencies: Sequence[Dependency]) -> bytes:
    """Encode the dependencies of a job."""
    return json.dumps([[d.id, d.condition.value] for d in dependencies]).encode()


def decode_dependencies(stored: StoredJob) -> list[Dependency]:
    """Decode the dependencies of a stored job."""
    rows = json.loads(stored.accepted.dependencies)
    return [Dependency(id_, DependencyCondition(condition)) for id_, condition in rows]
