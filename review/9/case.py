"""An accession runs twice at once: its client lost its connection and submits the same unique id again."""

from __future__ import annotations

import asyncio
import socket
import struct
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins_2 import (
    BROKEN,
    CAN_DO,
    HELD,
    SUBMIT_JOB,
    TROUBLE,
    WORK_COMPLETE,
    WORK_FAIL,
    Case,
    GearmanPeer,
    connect_again,
    free_port,
    main,
)

WORKERS = 4
RUN_S = 4.0  # of an accession: 3.3 to 6.4 s
CUT_S = 1.0  # how long client and scheduler are cut off from each other; the pages name 6 s
FUNCTION = b"file_specimen"
UNIQUE = b"specimen-4711"
# The accession of `deploy/gearman.toml`.
GEARMAN = """
listen = "127.0.0.1:{port}"
[functions.file_specimen]
class = "accession"
deadline_ms = 25000
worth = 8.0
"""


class Link:
    """The network between the client and the scheduler: a relay that can be cut.

    During a cut nothing is said, and the connections are reset once it is over.
    """

    def __init__(self, port: int) -> None:
        self.port = free_port()
        self._to = port
        self._is_cut = False
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Begin to pass connections on."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self._to)
        await asyncio.gather(self._pass(reader, far_writer), self._pass(far_reader, writer))

    async def _pass(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while data := await reader.read(65536):
                if not self._is_cut:
                    writer.write(data)
        except ConnectionError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def cut(self) -> None:
        """Pass nothing on any more."""
        self._is_cut = True

    def heal(self) -> None:
        """Reset the connections on both sides, and pass new ones on."""
        self._is_cut = False
        for writer in list(self._writers):
            writer.transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            writer.transport.abort()

    def close(self) -> None:
        """Stop."""
        if self._server is not None:
            self._server.close()
        self.heal()


class Site:
    """The peers of the scheduler, and what runs."""

    def __init__(self, case: Case, port: int) -> None:
        self.case = case
        self.port = port
        self.runs: list[str] = []
        self.running: list[str] = []
        self.began = asyncio.Event()

    async def work(self, name: str) -> None:
        """Be one worker."""
        note = self.case.record.note
        peer = await GearmanPeer.connect(self.port)
        peer.send(CAN_DO, FUNCTION)
        while True:
            handle, unique, workload = await peer.next_job()
            self.runs.append(name)
            self.running.append(name)
            self.began.set()
            note(f"{name} BEGINS {unique.decode()}: run number {len(self.runs)}; running: {self.running}")
            await asyncio.sleep(RUN_S)
            self.running.remove(name)
            note(f"{name} has done {unique.decode()}")
            peer.send(WORK_COMPLETE, handle, b"filed: " + workload)

    async def client(self, link: Link) -> None:
        """Wait for the accession; after a lost connection, submit it again under its unique id."""
        note = self.case.record.note
        answer = 0
        while answer not in (WORK_COMPLETE, WORK_FAIL):
            peer = await connect_again(link.port)
            try:
                handle = await peer.submit(SUBMIT_JOB, FUNCTION, UNIQUE, b"specimen 4711")
                note(f"client submitted {UNIQUE.decode()}, handle {handle.decode()}")
                while answer not in (WORK_COMPLETE, WORK_FAIL):
                    answer, data = await peer.receive()
                    note(f"client got packet {answer} {data!r}")
            except ConnectionError:
                note("client lost its connection")
            finally:
                peer.close()


async def body(case: Case) -> int:
    """Run the case."""
    note = case.record.note
    port = free_port()
    gearman = case.tmp / "gearman.toml"
    gearman.write_text(GEARMAN.format(port=port))
    await case.discovery.tell("s-0", free_port(), "ready")
    daemon = await case.start_daemon(case.write_config(), "--gearman", str(gearman))
    await case.wait_until_up(daemon)
    site = Site(case, port)
    workers = [asyncio.create_task(site.work(f"worker-{number}")) for number in range(WORKERS)]
    await asyncio.sleep(0.5)
    link = Link(port)
    await link.open()
    client = asyncio.create_task(site.client(link))
    async with asyncio.timeout(10):
        await site.began.wait()
    await asyncio.sleep(1.0)
    if TROUBLE:
        note(f"client and scheduler are cut off from each other for {CUT_S:g} s")
        link.cut()
        await asyncio.sleep(CUT_S)
        link.heal()
        note("the cut is over, and the connections are reset")
    async with asyncio.timeout(30):
        await client
    await asyncio.sleep(1.0)
    note(f"{UNIQUE.decode()} began to run {len(site.runs)} times: {site.runs}")
    for worker in workers:
        worker.cancel()
    link.close()
    return BROKEN if len(site.runs) > 1 else HELD


if __name__ == "__main__":
    main(__file__, body)
