"""The component of `[start]`: serves from a cached list until the list service has answered.

At the start the best cached list is used. The list service is asked only after this scheduler has been
admitted (`fetch_admission`); until then peers that have the service's list are asked for it. The first answer
of the service ends the start. From then on its list is offered to peers and written to disk.
"""

from __future__ import annotations

import asyncio
import logging
from functools import partial
from pathlib import Path

import orjson

from .dependencies import Peers, StartDependencies
from .fetch_admission import FetchAdmission
from .served_snapshot import ServedSnapshot
from .snapshot_writer import SnapshotWriter
from .snapshots import Snapshot, Source, UnusableSnapshotError, parse_snapshot
from .table import StartSettings

log = logging.getLogger("oxbowyard.start")

LIST_TOPIC = "list"  # topic of pull requests to peers
SETTLED_VIEW_S = 1.0  # without a new peer before the member list is complete enough to compute a rank
MAX_SETTLE_S = 4.0  # after this a rank is computed in any case
POLL_INTERVAL_S = 0.1
PEERS_PER_ASK = 2
ASK_JITTER_FACTORS = (0.5, 1.5)  # of the interval, so that the schedulers of a group do not ask all at once


class StartComponent:
    """The start of one scheduler. Must be created on the event loop that runs it."""

    name = "start"

    def __init__(self, settings: StartSettings, dependencies: StartDependencies) -> None:
        self._settings = settings
        self._dependencies = dependencies
        self._loop = asyncio.get_running_loop()
        self._started_at = self._loop.time()
        self._served = ServedSnapshot(settings, dependencies, self._loop.time)
        self._confirmed_at: float | None = None  # time of the service's last answer
        self._has_unwritten_change = False
        self._admitted = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    # ---- Lifecycle ----

    async def open(self) -> None:
        """Do nothing: a missing folder is reported by the first write."""

    def start(self) -> None:
        """Serve from the best cached list, and wait for admission in the background."""
        self._started_at = self._loop.time()
        self._served.adopt_best()
        if (peers := self._peers) is not None:
            peers.offer(LIST_TOPIC, self._answer_peer)
        self._tasks = [self._loop.create_task(self._wait_for_rank())]
        if self._settings.path is not None:
            writer = SnapshotWriter(Path(self._settings.path), self._settings.site)
            self._tasks.append(self._loop.create_task(self._write_changes(writer)))

    async def hand_over(self) -> None:
        """Stop writing, because the successor process writes the same file."""
        await self._stop()

    async def close(self) -> None:
        """Stop all background tasks."""
        await self._stop()

    async def _stop(self) -> None:
        self._admitted.set()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()

    # ---- Called by the discovery client ----

    async def wait_for_admission(self) -> None:
        """Wait until this scheduler may send its first request to the service."""
        await self._admitted.wait()

    def service_answered(self) -> None:
        """Record that the service sent a list or confirmed the last one. The first answer ends the start."""
        now = self._loop.time()
        if self._confirmed_at is None:
            log.info("list service answered: after_s=%.1f", now - self._started_at)
        self._confirmed_at = now
        self._has_unwritten_change = True
        self._served.drop()
        self._admitted.set()

    # ---- Admission ----

    @property
    def _peers(self) -> Peers | None:
        return self._dependencies.peers if self._settings.peers else None

    async def _wait_for_rank(self) -> None:
        """Admit this scheduler when its rank is due, and ask peers for their list until then."""
        dependencies, settings = self._dependencies, self._settings
        if not dependencies.is_shared_service:  # an agent on this machine has no other clients
            self._admitted.set()
            return
        admission = FetchAdmission(
            dependencies.name, settings.few, settings.turn_s, dependencies.random, self._started_at
        )
        peers = self._peers
        if peers is not None:
            await self._wait_for_settled_view(peers)
            admission.started_at = self._loop.time()
        next_ask_at = self._loop.time()
        while not self._admitted.is_set():
            now = self._loop.time()
            names = peers.names() if peers is not None else []
            if now >= admission.due_at(names, dependencies.configured_count):
                log.info("asking the list service: schedulers=%d", len(names) + 1)
                self._admitted.set()
                return
            if peers is not None and names and now >= next_ask_at:
                next_ask_at = now + settings.ask_peer_every_s * dependencies.random.uniform(
                    *ASK_JITTER_FACTORS
                )
                self._ask_peers(peers, names)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _wait_for_settled_view(self, peers: Peers) -> None:
        """Wait until the peers that start at the same time are known. With too few of them this scheduler
        would compute too low a rank."""
        known, since = 0, self._loop.time()
        while True:
            now = self._loop.time()
            if now - since >= SETTLED_VIEW_S or now - self._started_at >= MAX_SETTLE_S:
                return
            if (count := len(peers.names())) > known:
                known, since = count, now
            await asyncio.sleep(POLL_INTERVAL_S)

    # ---- Lists from and for peers ----

    def _ask_peers(self, peers: Peers, names: list[str]) -> None:
        for name in self._dependencies.random.sample(names, min(len(names), PEERS_PER_ASK)):
            peers.ask(peers.address(name), LIST_TOPIC, partial(self._receive, name))

    def _answer_peer(self) -> bytes | None:
        """Return the service's list with its age, but never a cached list, whose age would be lost."""
        if self._confirmed_at is None:
            return None
        listed = self._dependencies.service_list()
        if listed is None or len(listed.targets) > self._settings.max_entries:
            return None
        age_s = self._loop.time() - self._confirmed_at
        return orjson.dumps(
            {"rev": listed.revision, "targets": listed.targets, "age": age_s, "site": self._settings.site}
        )

    def _receive(self, peer: str, body: bytes) -> None:
        """Handle a peer's list. It is treated as a cached list, which the service's list replaces."""
        if self._confirmed_at is not None:
            return
        try:
            snapshot = self._parse_peer_list(peer, body)
        except ValueError as error:
            log.warning("cached list not used: source=peer origin=%s reason=%s", peer, error)
            return
        if self._served.offer(snapshot) and snapshot.age_s <= self._settings.same_service_s:
            self._admitted.set()  # only changes since this list are requested, which cost the service less

    def _parse_peer_list(self, peer: str, body: bytes) -> Snapshot:
        """Parse a peer's answer. Raises ValueError with the reason why the list is not used."""
        document = orjson.loads(body)
        if not isinstance(document, dict) or document.get("site") != self._settings.site:
            raise UnusableSnapshotError(f"not a list of site {self._settings.site!r}")
        age_s = document.get("age")
        if not isinstance(age_s, (int, float)) or isinstance(age_s, bool):
            raise UnusableSnapshotError(f"field age: expected a number of seconds, found {age_s!r:.40}")
        snapshot = parse_snapshot(
            Source.PEER, float(age_s), document, self._settings.max_entries, origin=peer
        )
        if snapshot.age_s > self._settings.max_age_s:
            raise UnusableSnapshotError(
                f"{snapshot.age_s:.0f} s old, the limit is {self._settings.max_age_s:.0f} s"
            )
        return snapshot

    # ---- The list on disk ----

    async def _write_changes(self, writer: SnapshotWriter) -> None:
        while True:
            await asyncio.sleep(self._settings.keep_every_s)
            listed = self._dependencies.service_list() if self._has_unwritten_change else None
            if listed is None or self._confirmed_at is None:
                continue
            self._has_unwritten_change = False
            silent_s = self._loop.time() - self._confirmed_at
            await writer.write(self._dependencies.wall_clock() - silent_s, listed)
