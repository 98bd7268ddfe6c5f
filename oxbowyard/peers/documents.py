"""Documents that schedulers ask of each other, such as the list of workers of one that has it already."""

from __future__ import annotations

from collections.abc import Callable

from ..membership.node import Node


class PeerDocuments:
    """The live members of the group as sources of documents."""

    def __init__(self, node: Node) -> None:
        self._node = node

    def names(self) -> list[str]:
        """The live members, without this one."""
        return [member.record.name for member in self._node.protocol.members.live()]

    def address(self, name: str) -> str:
        """Where a member can be asked; empty if it is not known."""
        member = self._node.protocol.members.get(name)
        return member.record.address if member is not None else ""

    def ask(self, address: str, what: str, take: Callable[[bytes], None]) -> None:
        """Ask the member at an address for a document; `take` is called if it answers."""
        self._node.pull(address, what, take)

    def offer(self, what: str, give: Callable[[], bytes | None]) -> None:
        """Answer requests for a document from now on; None is no answer."""
        self._node.offer(what, give)
