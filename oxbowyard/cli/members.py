"""`oxbowyard members`: the group of schedulers as one of them sees it, asked at its admin API."""

from __future__ import annotations

import http.client
import json
from collections.abc import Mapping, Sequence
from typing import Any

TIMEOUT_S = 5.0
MAX_RESPONSE_BYTES = 1 << 24  # ten thousand members take some three million
PATH = "/control/members"
HEAD = ("NAME", "ZONE", "ADDRESS", "STATE", "SINCE", "DOES", "HELD", "SLOTS", "VERSION", "WHY")


class AdminApiError(Exception):
    """The admin API can't be asked; its text is one line."""


def fetch_members(address: str) -> dict[str, Any]:
    """The view of the scheduler whose admin API is at HOST:PORT. Raises AdminApiError."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise AdminApiError(f"{address!r} is no address of a door, as 127.0.0.1:18090 is")
    status, body = _get(address, host, int(port))
    if status == http.HTTPStatus.NOT_FOUND:
        raise AdminApiError(f"the scheduler at {address} has no table [membership]")
    try:
        view = json.loads(body) if status == http.HTTPStatus.OK else None
    except ValueError:
        view = None
    if not isinstance(view, dict) or "members" not in view:
        raise AdminApiError(f"the door at {address} answered {status}, which is no view of a group")
    return view


def _get(address: str, host: str, port: int) -> tuple[int, bytes]:
    connection = http.client.HTTPConnection(host, port, timeout=TIMEOUT_S)
    try:
        connection.request("GET", PATH)
        response = connection.getresponse()
        return response.status, response.read(MAX_RESPONSE_BYTES)
    except (OSError, http.client.HTTPException) as error:
        raise AdminApiError(f"the door at {address} does not answer: {error}") from None
    finally:
        connection.close()


def format_members(view: Mapping[str, Any]) -> list[str]:
    """The view as lines for people to read."""
    me = view["me"]
    rows: list[tuple[str, ...]] = [HEAD]
    rows.append(_row({**me, "state": "this one", "since_s": None, "why": f"health {me['health']}"}))
    rows += [_row(member) for member in view["members"]]
    return [*_header(view), "", *_columns(rows)]


def _header(view: Mapping[str, Any]) -> list[str]:
    count = view["count"]
    header = [
        f"group {view['group']}: reckons with {count['reckoned']} schedulers, {count['live']} live, "
        f"{count['in_doubt']} in doubt, {count['configured']} configured"
    ]
    if not view["me"].get("bound", True):
        header.append("its address is taken: it is no member yet")
    header += [f"two are named {name}: the other is at {at}" for name, at in view["conflicts"].items()]
    if view["spared"]:
        header.append("spared for what others tell: " + ", ".join(view["spared"]))
    if view["dropped"]:
        header.append("dropped: " + ", ".join(f"{why} {n}" for why, n in sorted(view["dropped"].items())))
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
    return ["  ".join(f"{cell:<{w}}" for cell, w in zip(row, widths, strict=True)).rstrip() for row in rows]
