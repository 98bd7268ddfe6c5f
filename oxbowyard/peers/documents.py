"""Documents that schedulers request from each other, such as the list of workers."""

from __future__ import annotations

from collections.abc import Callable

from ..membership.node import Node


class PeerDocuments:
    """Requests documents from the live members of the group, and serves documents to them."""

    def __init__(self, node: Node) -> None:
        self._node = node

    def names(self) -> list[str]:
        """Return the names of the live members, without this one."""
        return [member.record.name for member in self._node.protocol.members.live()]

    def address(self, name: str) -> str:
        """Return the address of a member; empty if the member is not known."""
        member = self._node.protocol.members.get(name)
        return member.record.address if member is not None else ""

    def ask(self, address: str, topic: str, on_body: Callable[[bytes], None]) -> None:
        """Request a document from the member at an address; `on_body` is called if the member answers."""
        self._node.pull(address, topic, on_body)

    def offer(self, topic: str, make_body: Callable[[], bytes | None]) -> None:
        """Serve a document from now on. `make_body` is called for each request; None: do not answer it."""
        self._node.offer(topic, make_body)
