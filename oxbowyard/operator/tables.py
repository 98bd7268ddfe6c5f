"""A model of the operator's file: its tables and their keys. Each table enables a subsystem."""

from __future__ import annotations

import msgspec

from ..durable.settings import DurableSettings
from ..membership.table import MembershipSettings
from ..start.table import StartSettings
from ..waiting.settings import WaitingSettings


class FunctionTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[gearman.functions.NAME]`."""

    class_: str = msgspec.field(name="class")
    deadline_ms: float | None = None
    worth: float | None = None
    queueing: bool = False
    patience_s: float | None = None


class GearmanTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[gearman]`: the keys of deploy/gearman.toml, whose page says what they mean."""

    listen: str
    max_packet_bytes: int | None = None
    max_connections: int | None = None
    max_buffered_bytes: int | None = None
    packet_within_s: float | None = None
    max_queue: int | None = None
    max_held_bytes: int | None = None
    functions: dict[str, FunctionTable] = msgspec.field(default_factory=dict)


class Tables(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The file. A table that is absent leaves its subsystem off."""

    waiting: WaitingSettings | None = None
    durable: DurableSettings | None = None
    gearman: GearmanTable | None = None
    membership: MembershipSettings | None = None
    start: StartSettings | None = None
