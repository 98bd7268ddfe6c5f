"""Which jobs wait for which: what a hand-in may name, and what a parent's end means. No I/O, no clock.

A job can only name jobs that are there, or others of its own hand-in: so only there can a cycle be.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

from ..core.request import RunState
from .order import Code, End, Job, Order, Parent, Rejected, State, When
from .settings import WaitingSettings

Find = Callable[[str], Job | None]


def met(end: End, ran: RunState, when: When) -> bool:
    """Whether a parent's end is what the child waits for. One that may still run is neither."""
    return end is End.SERVED or (when is When.ENDED and ran is not RunState.MAY_BE_RUNNING)


def in_turn(orders: Sequence[Order], find: Find, settings: WaitingSettings) -> list[tuple[Order, int]]:
    """The orders of one hand-in, parents first, each with its depth; raises Rejected."""
    if len(orders) == 1 and not orders[0].after:  # most are
        return [(orders[0], 0)]
    own = {order.id: order for order in orders}
    for order in orders:
        _check_parents(order, own, find, settings)
    waits = {order.id: [p.id for p in order.after if p.id in own] for order in orders}
    followers: dict[str, list[str]] = {}
    for id_, parents in waits.items():
        for parent in parents:
            followers.setdefault(parent, []).append(id_)
    missing = {id_: len(parents) for id_, parents in waits.items()}
    turn = [id_ for id_, n in missing.items() if not n]
    depths: dict[str, int] = {}
    for id_ in turn:  # it grows while it is walked
        depths[id_] = _depth(own[id_], depths, find)
        if depths[id_] > settings.max_depth:
            raise Rejected(Code.TOO_DEEP, f"{id_} is more than {settings.max_depth} jobs deep in a chain")
        for follower in followers.get(id_, ()):
            missing[follower] -= 1
            if not missing[follower]:
                turn.append(follower)
    if len(turn) < len(own):
        left = next(id_ for id_, n in missing.items() if n)
        raise Rejected(Code.CYCLE, f"{left} waits for itself through others of this hand-in")
    return [(own[id_], depths[id_]) for id_ in turn]


def _check_parents(order: Order, own: Mapping[str, Order], find: Find, settings: WaitingSettings) -> None:
    if len(order.after) > settings.max_parents:
        raise Rejected(Code.TOO_MANY_PARENTS, f"a job waits for {settings.max_parents} others at most")
    seen: set[str] = set()
    for parent in order.after:
        if parent.id == order.id:
            raise Rejected(Code.SELF_PARENT, f"{order.id} waits for itself")
        if parent.id in seen:
            raise Rejected(Code.DUPLICATE_ID, f"{order.id} names {parent.id} twice")
        seen.add(parent.id)
        if parent.id not in own:
            _check_known(parent, find(parent.id), settings)


def _check_known(parent: Parent, known: Job | None, settings: WaitingSettings) -> None:
    if known is None:
        raise Rejected(Code.UNKNOWN_PARENT, f"no job {parent.id}, or its end is no longer known")
    if known.end is not None and not met(known.end, known.ran, parent.when):
        raise Rejected(Code.PARENT_NOT_SERVED, f"{parent.id} has ended: {known.end.value}")
    if known.children is not None and len(known.children) >= settings.max_children:
        raise Rejected(Code.TOO_MANY_PARENTS, f"{settings.max_children} jobs wait for {parent.id} already")


def _depth(order: Order, depths: Mapping[str, int], find: Find) -> int:
    """Links to a job that waits for nobody, counted now: a parent that is free of its own counts as one."""
    deepest = 0
    for parent in order.after:
        if parent.id in depths:
            deepest = max(deepest, depths[parent.id] + 1)
        elif (known := find(parent.id)) is not None and known.end is None:
            deepest = max(deepest, (known.depth if known.state is State.HELD else 0) + 1)
    return deepest
