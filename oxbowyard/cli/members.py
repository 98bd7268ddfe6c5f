"""`oxbowyard members`: the group of schedulers as one of them sees it, asked at its door."""

from __future__ import annotations

import http.client
import json
from collections.abc import Mapping, Sequence
from typing import Any

WITHIN = 5.0  # seconds that the door is given
MOST_ANSWER = 1 << 24  # bytes: ten thousand members take some three million
PATH = "/control/members"
HEAD = ("NAME", "ZONE", "ADDRESS", "STATE", "SINCE", "DOES", "HELD", "SLOTS", "VERSION", "WHY")


class NoAnswer(Exception):
    """The door can't be asked; its text is one line."""


def fetch(door: str) -> dict[str, Any]:
    """The view of the scheduler whose door is at this address; raises NoAnswer."""
    host, _, port = door.rpartition(":")
    if not host or not port.isdigit():
        raise NoAnswer(f"{door!r} is no address of a door, as 127.0.0.1:18090 is")
    connection = http.client.HTTPConnection(host, int(port), timeout=WITHIN)
    try:
        connection.request("GET", PATH)
        answer = connection.getresponse()
        body = answer.read(MOST_ANSWER)
    except (OSError, http.client.HTTPException) as fault:
        raise NoAnswer(f"the door at {door} does not answer: {fault}") from None
    finally:
        connection.close()
    if answer.status == 404:
        raise NoAnswer(f"the scheduler at {door} has no table [membership]")
    try:
        found = json.loads(body) if answer.status == 200 else None
    except ValueError:
        found = None
    if not isinstance(found, dict) or "members" not in found:
        raise NoAnswer(f"the door at {door} answered {answer.status}, which is no view of a group")
    return found


def lines(view: Mapping[str, Any]) -> list[str]:
    """The view for people to read."""
    me, count = view["me"], view["count"]
    rows: list[tuple[str, ...]] = [HEAD]
    rows.append(_row({**me, "state": "this one", "since_s": None, "why": f"health {me['health']}"}))
    rows += [_row(member) for member in view["members"]]
    told = [f"group {view['group']}: reckons with {count['reckoned']} schedulers, {count['live']} live, "
            f"{count['in_doubt']} in doubt, {count['configured']} configured"]  # fmt: skip
    if not me.get("bound", True):
        told.append("its address is taken: it is no member yet")
    told += [f"two are named {name}: the other is at {at}" for name, at in view["conflicts"].items()]
    if view["spared"]:
        told.append("spared for what others tell: " + ", ".join(view["spared"]))
    if view["dropped"]:
        told.append("dropped: " + ", ".join(f"{why} {n}" for why, n in sorted(view["dropped"].items())))
    return [*told, "", *_columns(rows)]


def _row(member: Mapping[str, Any]) -> tuple[str, ...]:
    since = member.get("since_s")
    return (
        member["name"], member["zone"] or "-", member["address"], member["state"],
        "-" if since is None else f"{since:.0f} s", member.get("does", "-"),
        f"{member.get('held', 0):.0f}", f"{member.get('slots', 0):.0f}", member.get("version", "-"),
        member.get("why") or "-",
    )  # fmt: skip


def _columns(rows: Sequence[tuple[str, ...]]) -> list[str]:
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    return ["  ".join(f"{cell:<{w}}" for cell, w in zip(row, widths, strict=True)).rstrip() for row in rows]
