"""Plays one form with many connections, each of which is opened again when it is closed.

python -m benchmarks.hostile.peers 127.0.0.1:18080 "one-byte chunks" --connections 900 --seconds 10
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import resource
import time

from .forms import FORMS, Form

RECONNECT_S = 0.02
PAUSE_S = 0.05  # between two pieces that are sent slowly
OPENINGS_AT_ONCE = 64
READ_BYTES = 1 << 16


class Peer:
    """One misbehaving peer."""

    def __init__(self, address: tuple[str, int], form: Form, turns: asyncio.Semaphore) -> None:
        """`turns` limits how many peers open a connection at the same moment."""
        self._address = address
        self._form = form
        self._turns = turns

    async def run(self) -> None:
        """Connect and misbehave until cancelled."""
        while True:
            with contextlib.suppress(OSError):
                await self._play()
            await asyncio.sleep(RECONNECT_S)

    async def _play(self) -> None:
        async with self._turns:
            reader, writer = await asyncio.open_connection(*self._address)
        sending = asyncio.ensure_future(self._send(writer))
        try:
            while self._form.reads and await reader.read(READ_BYTES):
                pass
            if not self._form.reads:
                await sending
                while not writer.is_closing():
                    await asyncio.sleep(PAUSE_S)
                    writer.write(b"")
        finally:
            sending.cancel()
            writer.transport.abort()
            await asyncio.wait({sending})
            if not sending.cancelled():
                sending.exception()  # the daemon closed the connection

    async def _send(self, writer: asyncio.StreamWriter) -> None:
        writer.write(self._form.first())
        await writer.drain()
        while self._form.repeats:
            writer.write(self._form.first())
            await writer.drain()
        while piece := self._form.slowly():
            await asyncio.sleep(PAUSE_S)
            writer.write(piece)
            await writer.drain()


async def play(address: tuple[str, int], form: Form, connections: int, duration_s: float) -> None:
    """Play a form for `duration_s` seconds."""
    turns = asyncio.Semaphore(OPENINGS_AT_ONCE)
    peers = [asyncio.ensure_future(Peer(address, form, turns).run()) for _ in range(connections)]
    await asyncio.sleep(duration_s)
    for peer in peers:
        peer.cancel()
    await asyncio.gather(*peers, return_exceptions=True)


def _main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("address")
    parser.add_argument("form", choices=FORMS)
    parser.add_argument("--connections", type=int, default=900)
    parser.add_argument("--seconds", type=float, default=10.0)
    arguments = parser.parse_args()
    host, _, port = arguments.address.rpartition(":")
    wanted = arguments.connections + 64
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, min(wanted, hard)), hard))
    started_at = time.monotonic()
    asyncio.run(play((host, int(port)), FORMS[arguments.form], arguments.connections, arguments.seconds))
    print(f"{arguments.form}: {time.monotonic() - started_at:.1f} s")


if __name__ == "__main__":
    _main()
