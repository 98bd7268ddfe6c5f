"""Workers for the crash audit, each a process that kills itself at random.

Before a worker runs a job it appends a line to the file `starts`, so that a kill can't undo the record of a
start. While the file `calm` exists, no worker kills itself.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import re
import signal
from pathlib import Path

from oxbowyard.gearman.codec import Decoder, Packet, encode
from oxbowyard.gearman.packet_types import PacketType

from .stand_in_fleet import HEAD_END

DEATH_CHANCE_BEFORE_START, DEATH_CHANCE_BEFORE_RESULT = 0.03, 0.08
FUNCTIONS = (b"file_specimen", b"render_preview")


class Worker:
    """A worker over HTTP or Gearman."""

    def __init__(self, folder: Path, seed: int) -> None:
        self._folder = folder
        self._rng = random.Random(seed)
        self._starts = os.open(folder / "starts", os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)

    def die_by_chance(self, chance: float) -> None:
        """Kill this process with a probability, unless the file `calm` exists."""
        if self._rng.random() < chance and not (self._folder / "calm").exists():
            os.kill(os.getpid(), signal.SIGKILL)

    async def work(self, payload: str) -> None:
        """Run one job."""
        self.die_by_chance(DEATH_CHANCE_BEFORE_START)
        os.write(self._starts, payload.encode() + b"\n")
        await asyncio.sleep(self._rng.uniform(0, 0.05))
        self.die_by_chance(DEATH_CHANCE_BEFORE_RESULT)

    async def serve_http(self, port: int) -> None:
        """Serve HTTP forever. Retry while another process has the port as the local port of a connection."""
        while True:
            try:
                server = await asyncio.start_server(self._serve, "127.0.0.1", port)
            except OSError:
                await asyncio.sleep(0.02)
                continue
            await server.serve_forever()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = (await reader.readuntil(HEAD_END)).decode("latin-1")
            size = re.search(r"(?i)content-length: (\d+)", head)
            payload = (await reader.readexactly(int(size[1]) if size else 0)).decode()
            id_ = (re.search(r"(?i)req-id: (\S+)", head) or ["", ""])[1]
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n")
            _write_line(writer, {"id": id_, "state": "started"})
            await self.work(payload)
            _write_line(writer, {"id": id_, "state": "done", "result": f"made {payload}"})
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    async def serve_gearman(self) -> None:
        """Serve forever the scheduler whose address the file `gearman` holds."""
        while True:
            try:
                host, port = (self._folder / "gearman").read_text().split()
                reader, writer = await asyncio.open_connection(host, int(port))
            except (OSError, ValueError):
                await asyncio.sleep(0.02)
                continue
            await self._serve_connection(reader, writer)

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        decoder = Decoder(1 << 20, magic=b"\0RES")
        writer.write(b"".join(encode(PacketType.CAN_DO, name, magic=b"\0REQ") for name in FUNCTIONS))
        writer.write(encode(PacketType.GRAB_JOB, magic=b"\0REQ"))
        try:
            while data := await reader.read(65536):
                for packet in decoder.feed(data):
                    assert isinstance(packet, Packet)
                    await self._handle_packet(packet, writer)
        except OSError:
            pass
        finally:
            writer.close()

    async def _handle_packet(self, packet: Packet, writer: asyncio.StreamWriter) -> None:
        if packet.type == PacketType.NO_JOB:
            writer.write(encode(PacketType.PRE_SLEEP, magic=b"\0REQ"))
        elif packet.type == PacketType.NOOP:
            writer.write(encode(PacketType.GRAB_JOB, magic=b"\0REQ"))
        elif packet.type == PacketType.JOB_ASSIGN:
            handle, _, payload = packet.data.split(b"\0", 2)
            await self.work(payload.decode())
            writer.write(encode(PacketType.WORK_COMPLETE, handle, b"made " + payload, magic=b"\0REQ"))
            writer.write(encode(PacketType.GRAB_JOB, magic=b"\0REQ"))


def _write_line(writer: asyncio.StreamWriter, event: dict[str, str]) -> None:
    data = json.dumps(event).encode() + b"\n"
    writer.write(b"%x\r\n%s\r\n" % (len(data), data))


def main(folder: Path, port: int, seed: int) -> None:
    """Run one worker: over HTTP on this port, or over Gearman if the port is 0."""
    worker = Worker(folder, seed)
    asyncio.run(worker.serve_http(port) if port else worker.serve_gearman())
