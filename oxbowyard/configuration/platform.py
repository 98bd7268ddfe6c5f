"""The platform's configuration file (`$LB_CONFIG`, JSON) as a model: names, types, limits and defaults.

The platform writes the file, which may have keys that this program does not read: they are reported as notes,
with the nearest known key. The platform has chosen the names; comments give the units.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

ADDRESS = r"^\[?[^\s\[\]]+\]?:\d{1,5}$"
HEX = r"^[0-9a-fA-F]*$"
# Descriptions that replace patterns in error texts. msgspec prints a pattern as Python's repr does.
PATTERNS = {repr(ADDRESS)[1:-1]: "HOST:PORT", HEX: "hex digits"}
Address = Annotated[str, msgspec.Meta(pattern=ADDRESS, description="HOST:PORT")]
Positive = Annotated[float, msgspec.Meta(gt=0)]
Share = Annotated[float, msgspec.Meta(gt=0, le=1)]
NotNegative = Annotated[float, msgspec.Meta(ge=0)]
Count = Annotated[int, msgspec.Meta(ge=1)]


class Strict(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """A table whose keys are ours: an unknown key is a fault."""


class Open(msgspec.Struct, frozen=True, omit_defaults=True):
    """A table of the platform's: an unknown key is a note."""


class Limits(Open, frozen=True):
    """What one process may use of the machine."""

    cores: Positive = 1.0  # CPU cores
    memory_mb: Positive = 192.0
    sockets: Count = 1024  # file descriptors


class Target(Open, frozen=True):
    """One worker in the form in which service discovery lists it."""

    uid: str
    endpoint: str  # HOST:PORT; empty if the state is gone
    state: Literal["ready", "draining", "gone"]
    az: str = ""
    model: str = ""
    pod_group: int = 0
    capacity_hint: float = 1.0
    boot_ms: NotNegative = 0.0  # Unix time of its last start in ms; 0: long ago


class Known(Open, frozen=True):
    """A list of workers with its version; `all` says that it is whole."""

    rev: int
    targets: list[Target]
    all: bool = True


class Lane(Open, frozen=True):
    """One class of requests: its times, what repeats it allows, and what it is worth."""

    name: Annotated[str, msgspec.Meta(min_length=1)]
    aim: Positive  # ms
    deadline: Positive  # ms
    semantics: Literal["free", "guarded", "single_shot"] = "single_shot"
    group: Literal["all", "zone", "cell"] = "all"
    memorySpan: NotNegative = 0.0  # ms
    aimStretch: NotNegative | None = None
    worth: NotNegative = 1.0
    lateWorth: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0
    streaming: bool = False
    inOrder: bool = False


class FamilyInfo(Open, frozen=True):
    """What workers of this kind of service tell, and which class runs on which kind."""

    classKind: list[int] = []
    classStretch: list[NotNegative] = []
    tellsStart: bool = False
    reportX0: str = ""
    progress: NotNegative = 0.0  # ms


class LoadReport(Open, frozen=True):
    """The figures that workers report of their load, and by which way."""

    names: list[str] = []
    via: str = ""


class PolicyLimits(Open, frozen=True):
    """What the decisions may do: attempts, probes, second copies, advice to clients."""

    maxAttempts: Count
    connectTimeout: Positive = 250.0  # ms
    connIdle: Positive = 60000.0  # ms
    maxRetryAfter: NotNegative = 0.0  # ms
    retryAfter: bool = False
    mayCancel: bool = False
    secondCopies: bool = False
    probes: bool = False
    mostHeld: Count = 20000  # reqs


class Rules(Open, frozen=True):
    """The figures of the rules on drains, cold workers and ordered requests."""

    stopSendingWithin: NotNegative = 0.0  # ms
    coldFrom: Share = 1.0
    rampTime: NotNegative = 0.0  # ms
    tipMultiple: Positive = 3.0
    tipAfter: Positive = 1000.0  # ms
    turnGap: NotNegative = 0.0  # ms


class Account(Open, frozen=True):
    """One tenant, with the requests a second that lie within its share."""

    name: str
    quotaPerS: NotNegative = 0.0


class Settings(Open, frozen=True):
    """The object `settings` of the platform's file."""

    siblings: Count
    lanes: Annotated[list[Lane], msgspec.Meta(min_length=1)]
    policyLimits: PolicyLimits
    rules: Rules
    discovery: Literal["push", "ask"] = "push"
    worthBy: str = ""
    weights: str = ""
    myZone: str = ""
    zones: list[str] = []
    kinds: list[str] = []
    familyInfo: FamilyInfo = FamilyInfo()
    loadReport: LoadReport = LoadReport()
    costs: dict[str, NotNegative] = {}
    accounts: list[Account] = []
    overShareWorth: NotNegative = 1.0


class PlatformFile(Open, frozen=True):
    """`$LB_CONFIG`. `listen` and `discovery` may come from `$LB_LISTEN` and `$LB_DISCOVERY` instead. The
    platform writes it, and may add keys: those are notes."""

    settings: Settings
    name: str = "oxbowyard"
    listen: Address | None = None
    discovery: Address | None = None
    admin: Address | None = None  # the admin API's address; None: the admin API is off
    seed: Annotated[str, msgspec.Meta(pattern=HEX)] = "0"  # hex
    limits: Limits = Limits()
    known: Known | None = None  # the last list that this scheduler had from discovery


ENVIRONMENT = {"name": "LB_NAME", "listen": "LB_LISTEN", "discovery": "LB_DISCOVERY", "admin": "LB_ADMIN"}
