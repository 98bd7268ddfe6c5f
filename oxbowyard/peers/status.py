"""The status of the group in the admin API (GET /control/members). The keys are part of that API."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from ..membership.drops import DropReason
from ..membership.member_list import Member
from ..membership.node import Node
from ..membership.protocol import MembershipProtocol
from .cluster_size import ClusterSize
from .facts import shown_facts


@dataclass(slots=True, frozen=True)
class GroupStatus:
    """The values shown in addition to the node's own state."""

    group: str
    configured_size: int
    cluster_size: ClusterSize
    conflicts: Mapping[str, str]  # address of the other process with the same name, by name
    avoided_workers: Sequence[str]


def status_document(node: Node, status: GroupStatus, now: float) -> dict[str, object]:
    """Return the status document; times in it are seconds before `now`."""
    protocol = node.protocol
    members = sorted(protocol.members, key=lambda member: member.record.name)
    return {
        "group": status.group,
        "me": _own_status(protocol, node.is_open),
        "members": [_member_status(member, now) for member in members],
        "count": {
            "reckoned": status.cluster_size.size,
            "live": status.cluster_size.live,
            "in_doubt": status.cluster_size.counted_dead,
            "configured": status.configured_size,
        },
        "conflicts": status.conflicts,
        "notes": len(protocol.entries),
        "spared": status.avoided_workers,
        "dropped": _drop_counts(node),
    }


def _own_status(protocol: MembershipProtocol, is_bound: bool) -> dict[str, object]:
    me = protocol.me
    return {
        "name": me.name,
        "zone": me.zone,
        "address": me.address,
        "incarnation": me.incarnation,
        "health": protocol.health_score,
        "bound": is_bound,
        **shown_facts(me.facts),
    }


def _member_status(member: Member, now: float) -> dict[str, object]:
    record = member.record
    return {
        "name": record.name,
        "zone": record.zone,
        "address": record.address,
        "state": record.state.name.lower(),
        "since_s": round(now - member.changed_at, 1),
        "why": member.reason,
        "incarnation": record.incarnation,
        **shown_facts(record.facts),
    }


def _drop_counts(node: Node) -> Counter[str]:
    dropped_entries = {DropReason.ENTRY_LIMIT.value: node.protocol.entries.dropped_count}
    return node.drops.by_reason() | Counter(dropped_entries)
