"""The schema of the store's SQLite file, its migrations and the mapping of rows to records."""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import asdict
from typing import Any

from .record import FirstSend, JobAccepted, JobEnded, Lease, StoredJob, StoredState

APPLICATION_ID = 0x6F786279  # "oxby", which identifies the program's files
SCHEMA_VERSION = 2

SCHEMA = """
CREATE TABLE meta (key TEXT PRIMARY KEY, value INTEGER NOT NULL) WITHOUT ROWID;
INSERT INTO meta VALUES ('epoch', 0);
CREATE TABLE jobs (
    number INTEGER PRIMARY KEY, id TEXT NOT NULL UNIQUE, job_class TEXT NOT NULL, tenant TEXT NOT NULL,
    token TEXT NOT NULL, print BLOB NOT NULL, taken_at REAL NOT NULL, patience REAL NOT NULL,
    delay REAL NOT NULL, quiet INTEGER NOT NULL, lift REAL, parents BLOB NOT NULL, req BLOB NOT NULL,
    payload BLOB NOT NULL, kept TEXT NOT NULL, asks INTEGER NOT NULL,
    lease TEXT, backend TEXT, granted_at REAL,
    end TEXT, ran TEXT, reason TEXT, result BLOB, retry_after REAL, ended_at REAL, resolved_by TEXT
);
CREATE UNIQUE INDEX jobs_by_token ON jobs (tenant, token) WHERE token != '';
CREATE INDEX jobs_open ON jobs (number) WHERE kept != 'ended';
CREATE INDEX jobs_ended ON jobs (ended_at) WHERE kept = 'ended';
"""
# From each version to the next. Version 1 did not record who resolved an indeterminate job.
MIGRATIONS = {1: "ALTER TABLE jobs ADD COLUMN resolved_by TEXT"}

# The columns have the names of the first release, because stores of it exist; `record` has the current terms.
# `token` is the idempotency key, `print` the fingerprint, `patience` the maximum wait, `quiet` waiting for an
# idle fleet, `lift` the priority, `parents` the dependencies, `req` the request, `kept` the state, `asks` the
# number of submissions, `ran` the run state, `backend` the worker and `lease` the lease's token. `reason` is
# that of the end. Before the end it holds the first send as JSON, so that the form of the file is the same.
COLUMNS = (
    "number, id, job_class, tenant, token, print, taken_at, patience, delay, quiet, lift, parents, req, "
    "payload, kept, asks, lease, backend, granted_at, end, ran, reason, result, retry_after, ended_at, "
    "resolved_by"
)
INSERT_JOB = f"INSERT INTO jobs ({COLUMNS}) VALUES ({', '.join('?' * 16)}{', NULL' * 10})"
UPDATE_STATE = """UPDATE jobs SET kept = ?, asks = ?, lease = ?, backend = ?, granted_at = ?, reason = ?
    WHERE number = ? AND kept != 'ended'"""
UPDATE_STATE_KEEP_LEASE = "UPDATE jobs SET kept = ?, asks = ? WHERE number = ? AND kept != 'ended'"
UPDATE_DEPENDENCIES = "UPDATE jobs SET parents = ? WHERE number = ? AND kept != 'ended'"
UPDATE_REQUEST = "UPDATE jobs SET req = ? WHERE number = ? AND kept != 'ended'"
END_JOB = """UPDATE jobs SET kept = 'ended', end = ?, ran = ?, reason = ?, result = ?, retry_after = ?,
    ended_at = ?, resolved_by = ?, payload = x'' WHERE number = ? AND kept != 'ended'"""
DELETE_OLD_RESULTS = """DELETE FROM jobs WHERE number IN
    (SELECT number FROM jobs WHERE kept = 'ended' AND ended_at < ? ORDER BY ended_at LIMIT ?)"""
DELETE_OLD_UNKEYED_RESULTS = """DELETE FROM jobs WHERE number IN (SELECT number FROM jobs
    WHERE kept = 'ended' AND ended_at < ? AND token = '' ORDER BY ended_at LIMIT ?)"""
SELECT_OPEN = f"SELECT {COLUMNS} FROM jobs WHERE kept != 'ended' AND number > ? ORDER BY number LIMIT ?"
SELECT_BY_ID = f"SELECT {COLUMNS} FROM jobs WHERE id = ?"
SELECT_BY_IDEMPOTENCY_KEY = f"SELECT {COLUMNS} FROM jobs WHERE token != '' AND tenant = ? AND token = ?"
COUNT_BY_STATE = "SELECT kept, count(*) FROM jobs GROUP BY kept"
COUNT_ENDED = "SELECT count(*) FROM jobs WHERE kept = 'ended'"
COUNT_JOBS = "SELECT count(*) FROM jobs"
LAST_NUMBER = "SELECT coalesce(max(number), 0) FROM jobs"
USED_BYTES = """SELECT (page_count - freelist_count) * page_size
    FROM pragma_page_count(), pragma_freelist_count(), pragma_page_size()"""
SELECT_EPOCH = "SELECT value FROM meta WHERE key = 'epoch'"
# The epoch in which a release opened the store that records all grants. It lags if an earlier one did since.
SELECT_GRANTS_EPOCH = "SELECT value FROM meta WHERE key = 'grants_epoch'"
SET_GRANTS_EPOCH = "INSERT OR REPLACE INTO meta VALUES ('grants_epoch', ?)"
INCREMENT_EPOCH = "UPDATE meta SET value = value + 1 WHERE key = 'epoch'"


def accepted_row(job: JobAccepted) -> tuple[object, ...]:
    """Return the values for `INSERT_JOB`. A new job is waiting, and was never submitted."""
    return (
        job.number,
        job.id,
        job.job_class,
        job.tenant,
        job.idempotency_key,
        job.fingerprint,
        job.accepted_at,
        job.max_wait_s,
        job.delay_s,
        int(job.wait_for_idle),
        job.priority,
        job.dependencies,
        job.request,
        job.payload,
        StoredState.WAITING.value,
        0,
    )


def ended_row(ended: JobEnded) -> tuple[object, ...]:
    """Return the values for `END_JOB`."""
    return (
        ended.outcome,
        ended.run_state,
        ended.reason,
        ended.result,
        ended.retry_after_s,
        ended.ended_at,
        ended.resolved_by or None,
        ended.number,
    )


def lease_values(lease: Lease | None) -> tuple[object, ...]:
    """Return the values for the lease in `UPDATE_STATE`."""
    if lease is None:
        return (None, None, None, None)
    first_send = json.dumps(asdict(lease.first_send)) if lease.first_send else None
    return (lease.token, lease.worker, lease.granted_at, first_send)


def _decode_first_send(text: str | None) -> FirstSend | None:
    return FirstSend(**json.loads(text)) if text else None


def stored_job(row: Sequence[Any]) -> StoredJob:
    """Convert a row with the columns of `COLUMNS` to a record."""
    accepted_fields: tuple[Any, ...] = (*row[:9], bool(row[9]), *row[10:14])
    accepted = JobAccepted(*accepted_fields)
    state, submission_count, token, worker, granted_at = row[14:19]
    ended = None
    if state == StoredState.ENDED.value:
        ended_fields: tuple[Any, ...] = (accepted.number, *row[19:25], row[25] or "")
        ended = JobEnded(*ended_fields)
    first_send = _decode_first_send(row[21]) if ended is None else None
    lease = Lease(token, worker, granted_at, first_send) if token is not None else None
    return StoredJob(accepted, StoredState(state), submission_count, lease, ended)
