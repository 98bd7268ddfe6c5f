"""`oxbowyard members`: the group as seen by one scheduler, fetched from its admin API."""

from __future__ import annotations

import http.client
import json
from collections.abc import Mapping, Sequence
from typing import Any

TIMEOUT_S = 5.0
MAX_RESPONSE_BYTES = 1 << 24  # ten thousand members take about 3 million bytes
PATH = "/control/members"
HEAD = ("NAME", "ZONE", "ADDRESS", "STATE", "SINCE", "DOES", "HELD", "SLOTS", "VERSION", "WHY")


class AdminApiError(Exception):
    """The admin API gave no membership view. The text is one line."""


def fetch_members(address: str) -> dict[str, Any]:
    """Fetch the membership view from the admin API at HOST:PORT. Raises AdminApiError."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise AdminApiError(
            f"{address!r} is not the address of an admin API, expected HOST:PORT such as 127.0.0.1:18090"
        )
    status, body = _get(address, host, int(port))
    if status == http.HTTPStatus.NOT_FOUND:
        raise AdminApiError(
            f"the scheduler at {address} has no membership: its operator file lacks the table [membership]"
        )
    try:
        view = json.loads(body) if status == http.HTTPStatus.OK else None
    except ValueError:
        view = None
    if not isinstance(view, dict) or "members" not in view:
        raise AdminApiError(
            f"the admin API at {address} answered with status {status}, but without a membership view"
        )
    return view


def _get(address: str, host: str, port: int) -> tuple[int, bytes]:
    connection = http.client.HTTPConnection(host, port, timeout=TIMEOUT_S)
    try:
        connection.request("GET", PATH)
        response = connection.getresponse()
        return response.status, response.read(MAX_RESPONSE_BYTES)
    except (OSError, http.client.HTTPException) as error:
        raise AdminApiError(f"the admin API at {address} does not answer: {error}") from None
    finally:
        connection.close()


def format_members(view: Mapping[str, Any]) -> list[str]:
    """Format the membership view as lines of text."""
    me = view["me"]
    rows: list[tuple[str, ...]] = [HEAD]
    rows.append(_row({**me, "state": "this scheduler", "since_s": None, "why": f"health {me['health']}"}))
    rows += [_row(member) for member in view["members"]]
    return [*_header(view), "", *_columns(rows)]


def _header(view: Mapping[str, Any]) -> list[str]:
    count = view["count"]
    header = [
        f"group {view['group']}: counts {count['reckoned']} schedulers, {count['live']} live, "
        f"{count['in_doubt']} dead but still counted, {count['configured']} configured"
    ]
    if not view["me"].get("bound", True):
        header.append("this scheduler has not joined yet: another process uses its membership address")
    header += [
        f"name conflict: another member at {address} is named {name}"
        for name, address in view["conflicts"].items()
    ]
    if view["spared"]:
        header.append("workers avoided because of reports by peers: " + ", ".join(view["spared"]))
    if view["dropped"]:
        header.append(
            "dropped: "
            + ", ".join(f"{reason} {number}" for reason, number in sorted(view["dropped"].items()))
        )
    return header


def _row(member: Mapping[str, Any]) -> tuple[str, ...]:
    since = member.get("since_s")
    return (
        member["name"],
        member["zone"] or "-",
        member["address"],
        member["state"],
        "-" if since is None else f"{since:.0f} s",
        member.get("does", "-"),
        f"{member.get('held', 0):.0f}",
        f"{member.get('slots', 0):.0f}",
        member.get("version", "-"),
        member.get("why") or "-",
    )


def _columns(rows: Sequence[tuple[str, ...]]) -> list[str]:
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    return [
        "  ".join(f"{cell:<{width}}" for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in rows
    ]
